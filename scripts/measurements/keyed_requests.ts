/** Sends print orders with each form of idempotency key. */
import { v7 as uuidv7 } from "uuid";
import { postJson } from "../../stand_ins/json_client.ts";
import { SampleKey } from "../../stand_ins/sample_records.ts";

/** Forms of key that a request can have. */
export enum KeyForm {
  None = "no key",
  Minted = "minted key",
  Caller = "caller's key",
}

/** How one order ended. */
export interface OrderSample {
  elapsed_ms: number;
  completed: boolean;
}

const PATH = "/v1/pipelines/hooghly/print/requests";
const MS_PER_S = 1_000;

/** Sends orders at an even rate to the hosts in turn. */
export async function sendOrders(
  hosts: readonly string[],
  run: { form: KeyForm; rate_per_s: number; duration_ms: number },
): Promise<OrderSample[]> {
  const samples: Promise<OrderSample>[] = [];
  const started_ms = performance.now();
  const count = run.rate_per_s * run.duration_ms / MS_PER_S;
  for (let number = 0; number < count; number++) {
    const due_ms = number * MS_PER_S / run.rate_per_s;
    const wait_ms = due_ms - (performance.now() - started_ms);
    if (wait_ms > 1) await new Promise((next) => setTimeout(next, wait_ms));
    const host = hosts[number % hosts.length] ?? "";
    const input = `${run.form} ${run.rate_per_s} ${number} ${started_ms}`;
    samples.push(sendOrder(host, run.form, input));
  }
  return await Promise.all(samples);
}

async function sendOrder(
  host: string,
  form: KeyForm,
  input: string,
): Promise<OrderSample> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${SampleKey.HooghlyDocks}`,
    "sesamequay-rank": "urgent",
    "sesamequay-non-idempotent": "true",
  };
  if (form === KeyForm.Caller) headers["idempotency-key"] = uuidv7();
  if (form === KeyForm.Minted) {
    const minted = await postJson(host, "/v1/keys", {}, { headers });
    headers["idempotency-key"] = minted.json.idempotency_key;
  }
  const sent_ms = performance.now();
  const answer = await postJson(host, PATH, { input }, { headers });
  const elapsed_ms = performance.now() - sent_ms;
  return { elapsed_ms, completed: answer.status === 200 };
}
