/** The option that selects a host, and the client for that host. */
import type { PeerClient } from "../../peers/peer_client.ts";
import { formatAddress } from "../../settings/settings.ts";
import type { CommandInvocation, OptionDefinition } from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";
import { loadCommandSettings } from "./load_command_settings.ts";

/** The option for the peer address of a host. */
export const hostOption: OptionDefinition = {
  flags: "--host",
  description: "The host's address for peers, if not that of the settings",
};

/** Runs calls to a host as an operator; prints an error if they fail. */
export async function withHostClient(
  invocation: CommandInvocation,
  run: (host: PeerClient) => Promise<ExitCode>,
): Promise<ExitCode> {
  const settings = loadCommandSettings(invocation);
  if (settings === undefined) return ExitCode.Failure;
  const { host } = invocation.options;
  const address = host === undefined
    ? formatAddress(settings.listen.peers)
    : String(host);
  const { PeerClients } = await import("../../peers/peer_client.ts");
  const clients = new PeerClients({
    secret: settings.operators.secret,
    timeout_ms: settings.peers.timeout_ms,
  });
  try {
    return await run(clients.clientFor(address));
  } catch (error) {
    invocation.printError(`${address}: ${(error as Error).message}`);
    return ExitCode.Failure;
  } finally {
    clients.close();
  }
}
