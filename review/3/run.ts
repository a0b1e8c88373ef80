/** All open channels to the store fall silent; then the manifest changes. */
import { join } from "node:path";
import {
  answerWhole,
  attemptHeaders,
  BOUNDS,
  type Deployment,
  manifest,
  now,
  record,
  route,
  runScript,
  send,
  service,
  sleep,
  startProxy,
  TROUBLE,
} from "../lib/deployment.ts";

/** For how long requests are sent after the hosts are in touch again. */
const OBSERVED_MS = 7_000;
const HOSTS = 2;

const services = [service("cert-desk")];
const lookup = route("line-lookup", "safe", "cert-desk");
const dropped = route("old-lookup", "safe", "cert-desk");
const added = route("new-lookup", "safe", "cert-desk");

async function run(deployment: Deployment): Promise<boolean> {
  let proxy: Awaited<ReturnType<typeof startProxy>> | undefined;
  await deployment.startStore(async (address) => {
    proxy = await startProxy(address);
    return proxy.address;
  });
  await deployment.addEngine("i-1", "cert-desk", answerWhole(21));
  await deployment.addEngine("i-2", "cert-desk", answerWhole(21));
  deployment.publish(manifest(1, [lookup, dropped], services));
  await deployment.startGateways(HOSTS);
  await sleep(BOUNDS.contact_ms + 1_000);
  // An ordinary change, that all hosts take over.
  deployment.publish(manifest(4, [lookup, dropped], services));
  await sleep(600);
  if (TROUBLE) {
    const count = proxy?.silence();
    record(`${count} open channels to the store fall silent; new ones work`);
  }
  const silent_ms = now();
  await sleep(200);
  deployment.publish(manifest(9, [lookup, added], services));
  const confirmed_ms = now();
  // From here the hosts are in touch again, and the change must be in force.
  const due_ms = Math.max(
    silent_ms + BOUNDS.contact_ms,
    confirmed_ms + BOUNDS.config_apply_ms,
  ) + 100;
  await sleep(due_ms - now());
  record("hosts are in touch, and config_apply_ms has passed");
  let asOlder = 0;
  let asNewer = 0;
  let other = 0;
  while (now() < due_ms + OBSERVED_MS) {
    for (const gateway of deployment.gateways) {
      for (
        const [path, isNew] of [["/new-lookup/1", true], [
          "/old-lookup/1",
          false,
        ]] as const
      ) {
        const headers = attemptHeaders(1_500);
        const answer = await send(gateway.callers, {
          path,
          headers,
          wait_ms: 1_500,
        });
        const { status } = answer;
        record(
          `${gateway.name} ${headers["x-attempt-id"]} ${path}: ${
            status ?? answer.error
          }`,
        );
        if (status === (isNew ? 200 : 404)) asNewer += 1;
        else if (status === (isNew ? 404 : 200)) asOlder += 1;
        else other += 1;
      }
    }
    await sleep(150);
  }
  record(
    `handled as by manifest 9: ${asNewer}, as by an older one only: ${asOlder}, other: ${other}`,
  );
  if (asNewer + asOlder === 0) throw new Error("nothing was answered");
  return asOlder === 0;
}

await runScript(join("review", "3"), run);
