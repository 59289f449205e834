/** The HTML report of a load run; a self-contained page without external resources. */
import type { LoadRun } from '../run/load-run';
import { violatedGuarantees } from '../run/summary';
import type { LoadSummary } from '../run/summary';
import { escapeText, renderPlot } from './line-plot';
import type { Plot, PlotLine } from './line-plot';
import { summaryLines } from './text-table';

const MS_PER_SECOND = 1000;
const PERCENTILES = [50, 95, 99];

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; max-width: 800px; margin: 2em auto; padding: 0 1em; color: #222; }
h2 { font-size: 1.1em; margin: 1.6em 0 0; }
small, .legend { font-weight: normal; color: #555; }
.legend { margin: 0.2em 0; }
svg { width: 100%; height: auto; }
svg text { font: 11px system-ui, sans-serif; fill: #555; }
svg .grid { stroke: #ddd; }
table { border-collapse: collapse; }
td { padding: 0.15em 1.5em 0.15em 0; border-bottom: 1px solid #ddd; }
td:last-child { text-align: right; font-variant-numeric: tabular-nums; }
`;

function plots(run: LoadRun): Plot[] {
  const { results, observer, plan } = run;
  const { seconds } = plan;
  const countLine = (name: string, label = name): PlotLine => ({
    name: label,
    points: results.counts.bySecond(name, seconds),
  });
  const refusals = results.counts
    .names()
    .filter(name => name.startsWith('refused '));
  return [
    {
      title: 'Requests',
      unit: 'per second, by time of sending',
      seconds,
      lines: [
        countLine('requests', 'sent'),
        countLine('ok'),
        countLine('unknown'),
      ],
    },
    {
      title: 'First token',
      unit: 'ms, by time of sending',
      seconds,
      lines: PERCENTILES.map(percentile => ({
        name: `p${percentile}`,
        points: results.firstToken.bySecond(percentile),
      })),
    },
    {
      title: 'Skew',
      unit: 'max / mean of running requests over engines',
      seconds,
      lines: [
        {
          name: 'skew',
          points: observer
            .skewSamples()
            .map(([at, skew]) => [at / MS_PER_SECOND, skew] as const),
        },
      ],
    },
    {
      title: 'Refusals',
      unit: 'per second, by time of sending',
      seconds,
      lines:
        refusals.length === 0
          ? [{ name: 'none', points: [] }]
          : refusals.map(name => countLine(name)),
    },
  ];
}

/** Returns the complete page. */
export function renderReport(run: LoadRun, summary: LoadSummary): string {
  const rows = summaryLines(summary).map(
    ({ label, value }) =>
      `<tr><td>${escapeText(label)}</td><td>${escapeText(value)}</td></tr>`,
  );
  const violated = violatedGuarantees(summary);
  const conclusion =
    violated.length === 0
      ? 'No guarantee was violated.'
      : `Violated guarantees: ${violated.join(', ')}.`;
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>sesamegrade load report</title>
<style>${STYLE}</style>
</head>
<body>
<h1>Load report</h1>
<p>${escapeText(conclusion)} Seed ${summary.seed}, ${summary.seconds} s.</p>
<table>${rows.join('\n')}</table>
${plots(run).map(renderPlot).join('\n')}
</body>
</html>
`;
}
