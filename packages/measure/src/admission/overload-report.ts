/** Prints what callers get in the scenarios of overload, without and with admission control. */
import { OverloadModel } from './overload-model';
import type { ClassResult, OverloadScenario } from './overload-model';
import { OVERLOAD_SCENARIOS } from './overload-scenarios';

const percent = (part: number, whole: number) =>
  ((100 * part) / Math.max(1, whole)).toFixed(1).padStart(5);

function line(name: string, sum: ClassResult): string {
  const { offered, inTime, served, refused, cutOff } = sum;
  const large = percent(sum.largeServed, sum.largeOffered);
  return `  ${name.padEnd(16)} offered ${String(offered).padStart(6)} in time ${percent(inTime, offered)} served ${percent(served, offered)} refused ${percent(refused, offered)} cut off ${percent(cutOff, offered)} largest tenth served ${large}`;
}

function report(name: string, scenario: OverloadScenario): string {
  const result = new OverloadModel(scenario).run();
  const groups = new Map<string, ClassResult>();
  for (const [kind, part] of result.byClass) {
    for (const group of ['all', `priority ${kind.priority}`, kind.team]) {
      const sum = groups.get(group) ?? {
        offered: 0,
        inTime: 0,
        served: 0,
        refused: 0,
        cutOff: 0,
        largeOffered: 0,
        largeServed: 0,
      };
      for (const key of [
        'offered',
        'inTime',
        'served',
        'refused',
        'cutOff',
        'largeOffered',
        'largeServed',
      ] as const) {
        sum[key] += part[key];
      }
      groups.set(group, sum);
    }
  }
  const mean = (sum: number, count: number) =>
    Math.round(sum / Math.max(1, count));
  return [
    `${name}, ${scenario.hasAdmission ? 'with' : 'without'} admission control, seed ${scenario.seed}`,
    ...[...groups]
      .toSorted(([left], [right]) => left.localeCompare(right))
      .map(([group, sum]) => line(group, sum)),
    `  refusals ${result.refusals} (wrong ${result.wrongRefusals}), held ${mean(result.heldMs, result.refusals)} ms, at most ${result.maxHeldMs}; waited ${result.waited}, admitted ones held ${mean(result.admittedHeldMs, result.admissions)} ms; retry delay at most ${result.maxRetryShare.toFixed(2)} of the remaining time`,
    `  at endpoints beyond the slots ${Math.round(result.queuedAtEndpoints)}, at most ${result.maxQueuedAtEndpoints}; slots taken ${percent(result.utilisation, 1)} %`,
  ].join('\n');
}

const [only, seed] = process.argv.slice(2);
for (const [name, scenario] of Object.entries(OVERLOAD_SCENARIOS)) {
  if (only && only !== 'all' && only !== name) {
    continue;
  }
  for (const hasAdmission of [false, true]) {
    process.stdout.write(
      `${report(name, { ...scenario, hasAdmission, seed: Number(seed ?? 1) })}\n`,
    );
  }
}
