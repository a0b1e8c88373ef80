/**
 * Loaded into the process of a gateway host before the program. The host connects
 * from an address of its own, so that links can tell hosts apart, and its listener
 * for peers moves behind the link that has its announced address.
 */
import net from "node:net";

const { SOAK_SOURCE_IP: sourceIp, SOAK_PEERS_IP: peersIp } = process.env;
const announcedPort = Number(process.env.SOAK_PEERS_PORT);

type AnyFunction = (...args: unknown[]) => unknown;

const connect = net.Socket.prototype.connect as AnyFunction;
net.Socket.prototype.connect = function (this: net.Socket, ...args: unknown[]) {
  const [first] = args;
  const options = Array.isArray(first) ? first[0] : first;
  if (typeof options !== "object" || options === null) {
    throw new Error("The shim knows only connections with options");
  }
  if ("port" in options) Object.assign(options, { localAddress: sourceIp });
  return connect.apply(this, args);
} as typeof net.Socket.prototype.connect;

const listen = net.Server.prototype.listen as AnyFunction;
net.Server.prototype.listen = function (this: net.Server, ...args: unknown[]) {
  const [port, , ...others] = args;
  return port === announcedPort
    ? listen.call(this, port, peersIp, ...others)
    : listen.apply(this, args);
} as typeof net.Server.prototype.listen;
