/** The option that names a host, and the client for it. */
import { PeerClients } from "../../peers/peer_client.ts";
import type { PeerClient } from "../../peers/peer_client.ts";
import { formatAddress } from "../../settings/settings.ts";
import type { CommandInvocation, OptionDefinition } from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";
import { loadCommandSettings } from "./load_command_settings.ts";

/** The option that names a host by its address for peers. */
export const hostOption: OptionDefinition = {
  flags: "--host",
  description: "The host's address for peers, if not that of the settings",
};

/** Calls a host as an operator; prints an error if it does not answer. */
export async function withHostClient(
  call: CommandInvocation,
  run: (host: PeerClient) => Promise<ExitCode>,
): Promise<ExitCode> {
  const settings = loadCommandSettings(call);
  if (settings === undefined) return ExitCode.Failure;
  const address = call.options.host ?? formatAddress(settings.listen.peers);
  const clients = new PeerClients({
    secret: settings.operators.secret,
    timeout_ms: settings.peers.timeout_ms,
  });
  try {
    return await run(clients.to(address));
  } catch (error) {
    call.printError(`${address}: ${(error as Error).message}`);
    return ExitCode.Failure;
  } finally {
    clients.close();
  }
}
