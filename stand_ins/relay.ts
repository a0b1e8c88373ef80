/**
 * A minimal relay: a `node:http` server that calls each target in turn, passing
 * on the output, and does nothing else. It is the baseline that measurements
 * compare entry hosts with.
 */
import { Agent, createServer, request } from "node:http";

const [port, ...targets] = process.argv.slice(2);
const agent = new Agent({ keepAlive: true, scheduling: "lifo" });

createServer((incoming, response) => {
  let body = "";
  incoming.setEncoding("utf8");
  incoming.on("data", (chunk) => body += chunk);
  incoming.on("end", async () => {
    let input: unknown = JSON.parse(body).input;
    for (const target of targets) {
      const responseText = await callTarget(target, JSON.stringify({ input }));
      input = JSON.parse(responseText).output;
    }
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({ output: input, stages: [] }));
  });
}).listen(Number(port), "127.0.0.1", () => console.log("ready"));

function callTarget(target: string, body: string): Promise<string> {
  const [host, targetPort] = target.split(":");
  return new Promise((resolve, reject) => {
    const outgoing = request({
      agent,
      host,
      port: targetPort,
      method: "POST",
      path: "/stage",
      headers: { "content-length": Buffer.byteLength(body) },
    });
    outgoing.on("error", reject);
    outgoing.on("response", (incoming) => {
      let text = "";
      incoming.setEncoding("utf8");
      incoming.on("data", (chunk) => text += chunk);
      incoming.on("end", () => resolve(text));
    });
    outgoing.end(body);
  });
}
