/** A requester: one request on a channel of its own, or on a kept one. */
import { Agent, request as httpRequest } from "node:http";

let counter = 0;

export function attemptId() {
  counter += 1;
  return `${process.pid.toString(16)}-${counter.toString(16)}-${
    Math.random().toString(16).slice(2, 10)
  }`;
}

/** Sends a request; resolves to how it ended, and never rejects. */
export function send({
  to,
  host = "fleet.example",
  path,
  method = "POST",
  body,
  key,
  deadline_ms = 1500,
  headers = {},
  agent = new Agent(),
  attempt = attemptId(),
}) {
  const [ip, port] = to.split(":");
  const sent = Date.now();
  return new Promise((resolve) => {
    const end = (result) =>
      resolve({ attempt, to, path, sent, ended: Date.now(), ...result });
    const outgoing = httpRequest({
      agent,
      host: ip,
      port,
      path,
      method,
      headers: {
        Host: host,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": String(deadline_ms),
        ...(key ? { "X-Key": key } : {}),
        ...headers,
        ...(body === undefined
          ? {}
          : { "Content-Length": Buffer.byteLength(body) }),
      },
    });
    const timer = setTimeout(() => {
      end({ outcome: "deadline" });
      outgoing.destroy();
    }, deadline_ms);
    outgoing.on("error", (error) => {
      clearTimeout(timer);
      end({ outcome: error.code ?? error.message });
    });
    outgoing.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => {});
      response.on("close", () => {
        clearTimeout(timer);
        end({
          outcome: response.complete ? "whole" : "cut",
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString("latin1"),
        });
      });
    });
    outgoing.end(body);
  });
}
