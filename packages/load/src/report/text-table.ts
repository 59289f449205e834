/** The summary of a load run as a text table for terminals. */
import type { LoadSummary } from '../run/summary';

/** One line of a table. */
export interface TableLine {
  readonly label: string;
  readonly value: string;
}

const MS_DIGITS = 1;
const RATIO_DIGITS = 3;

function percentileText(values: LoadSummary['firstTokenMs']): string {
  if (values.count === 0) {
    return 'n/a';
  }
  const text = [values.p50, values.p95, values.p99].map(value =>
    value.toFixed(MS_DIGITS),
  );
  return `${text.join(' / ')} ms`;
}

/** The three measures of placement: cache reuse, load skew and control traffic. */
export function measureLines(summary: LoadSummary): TableLine[] {
  const { reuse, skew, controlBytesPerSecond } = summary;
  const skewText = `${skew.mean.toFixed(RATIO_DIGITS)} / ${skew.p99.toFixed(RATIO_DIGITS)}`;
  return [
    {
      label: 'reuse of returning chats (cached / prompt tokens)',
      value: reuse.ratio?.toFixed(RATIO_DIGITS) ?? 'n/a',
    },
    {
      label: 'skew (max / mean running): mean / p99',
      value: skew.samples === 0 ? 'n/a' : skewText,
    },
    {
      label: 'control bytes per router per second',
      value: controlBytesPerSecond?.toFixed(0) ?? 'n/a',
    },
  ];
}

/** Requests, outcomes and violated guarantees. */
export function outcomeLines(summary: LoadSummary): TableLine[] {
  const { audit } = summary;
  const line = (label: string, value: number) => ({
    label,
    value: String(value),
  });
  return [
    line('requests', summary.requests),
    line('ok', summary.ok),
    ...summary.refusals.map(({ type, outcome, count }) =>
      line(`refused ${type} (${outcome})`, count),
    ),
    line('unknown', summary.unknown),
    line('mixed responses', summary.mixedAnswers),
    line('truncated responses that look complete', summary.cutAnswersAsWhole),
    line('false not_run refusals', audit.untrueRefusals.length),
    line('double executions', audit.doubleExecutions.length),
    line('successes without execution', audit.falseSuccesses.length),
    line('requests sent to leaving endpoints', audit.sentToLeaving),
    line('endpoints without records', audit.missingRecords.length),
  ];
}

/** Token latencies. */
export function latencyLines(summary: LoadSummary): TableLine[] {
  return [
    {
      label: 'first token p50 / p95 / p99',
      value: percentileText(summary.firstTokenMs),
    },
    {
      label: 'inter-token p50 / p95 / p99',
      value: percentileText(summary.interTokenMs),
    },
  ];
}

/** All lines of the summary table. */
export function summaryLines(summary: LoadSummary): TableLine[] {
  return [
    ...outcomeLines(summary),
    ...latencyLines(summary),
    ...measureLines(summary),
  ];
}

/** Aligns labels to the left and values to the right. */
export function renderTable(lines: readonly TableLine[]): string {
  const labelWidth = Math.max(...lines.map(({ label }) => label.length));
  const valueWidth = Math.max(...lines.map(({ value }) => value.length));
  return lines
    .map(
      ({ label, value }) =>
        `${label.padEnd(labelWidth)}  ${value.padStart(valueWidth)}`,
    )
    .join('\n');
}
