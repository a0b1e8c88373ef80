/** The option that names a host, and the client for it. */
import { PeerClients } from "../../peers/peer_client.ts";
import type { PeerClient } from "../../peers/peer_client.ts";
import { formatAddress } from "../../settings/settings.ts";
import type { CommandCall, OptionDefinition } from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";
import { loadSettingsFor } from "./load_settings_for.ts";

/** The option that names a host by its address for peers. */
export const hostOption: OptionDefinition = {
  flags: "--host",
  description: "The host's address for peers, if not that of the settings",
};

/** Calls a host as an operator; prints an error if it does not answer. */
export async function withHost(
  call: CommandCall,
  run: (host: PeerClient) => Promise<ExitCode>,
): Promise<ExitCode> {
  const settings = loadSettingsFor(call);
  if (settings === undefined) return ExitCode.Findings;
  const address = call.options.host ?? formatAddress(settings.listen.peers);
  const clients = new PeerClients({
    secret: settings.operators.secret,
    timeout_ms: settings.peers.timeout_ms,
  });
  try {
    return await run(clients.clientFor(address));
  } catch (error) {
    call.printError(`${address}: ${(error as Error).message}`);
    return ExitCode.Findings;
  } finally {
    clients.close();
  }
}
