/** Tells the quarantine of endpoints that crash on pieces, and of those made. */
import type { QuarantineService } from "../quarantine/quarantine_service.ts";
import { stageTrait } from "../quarantine/request_traits.ts";
import type { BatcherOptions } from "./batcher.ts";
import type { StageJob } from "./types.ts";

/** Creates the batcher's functions that report crashes and completed jobs. */
export function createCrashRecorder(
  quarantine: Pick<QuarantineService, "recordBroken" | "recordAnswered">,
): Pick<BatcherOptions, "hasCrashed" | "onCompleted"> {
  return {
    async hasCrashed({ endpoint, jobs, sent_ms }) {
      const verdicts = jobs.map(({ job }) =>
        quarantine.recordBroken({
          endpoint,
          attempt_id: job.attempt_id,
          traits: traitsOf(job),
          sent_ms,
        })
      );
      const crashed = verdicts.map(({ crashed }) => crashed);
      return (await Promise.all(crashed)).some((each) => each);
    },
    onCompleted: (job) => quarantine.recordAnswered(traitsOf(job)),
  };
}

function traitsOf({ request, pool }: StageJob): string[] {
  return request === undefined ? [] : [stageTrait(request, pool)];
}
