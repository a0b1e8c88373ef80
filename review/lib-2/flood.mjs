/**
 * A faulty engine, as a process of its own: it takes each request and answers
 * with informational heads without end, until the caller closes. Prints its
 * port, and a line for each request and for each channel that is closed.
 */
import { createServer } from "node:net";

const HEADS = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2_000);
const [ip] = process.argv.slice(2);
const ATTEMPT = /x-attempt-id: (\S+)/i;

const server = createServer((socket) => {
  let attempt;
  socket.on("error", () => {});
  socket.on("close", () => {
    if (attempt) console.log(`closed ${attempt}`);
  });
  socket.on("data", (data) => {
    if (attempt !== undefined) return;
    attempt = ATTEMPT.exec(String(data))?.[1] ?? "a request without an id";
    console.log(`reached ${attempt}`);
    const write = () => {
      while (!socket.destroyed && socket.write(HEADS));
    };
    socket.on("drain", write);
    write();
  });
});
server.listen(0, ip, () => console.log(`port ${server.address().port}`));
