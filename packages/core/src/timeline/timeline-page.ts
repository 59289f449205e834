/**
 * Renders merged events as one self-contained HTML page with a lane for each
 * process and time downwards. A click on an event highlights every event of its
 * request, endpoint, lease or configuration version.
 */
import type { LostEvents, MergedEvent } from './merged-timeline';
import { describeEvent, lostLine, timeOfDay } from './timeline-text';

const STYLE = `
body { font: 13px system-ui, sans-serif; margin: 1rem; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; padding: 4px 8px; border-bottom: 2px solid #444; }
td { padding: 1px 8px; border-left: 1px solid #ddd; vertical-align: top; }
td:first-child { font-variant-numeric: tabular-nums; color: #555; border: 0; white-space: nowrap; }
.event { cursor: pointer; border-left: 4px solid #4a7; padding-left: 4px; }
.event small { color: #666; word-break: break-all; }
.request { border-color: #36c; } .endpoint, .engine { border-color: #c70; }
.configuration { border-color: #93c; } .lease { border-color: #099; }
.process, .store, .fault { border-color: #c33; }
.marked { background: #ffef9e; }
.lost { color: #a00; font-weight: bold; }
`;

const SCRIPT = `
const links = ['request', 'order', 'lease', 'configuration', 'endpoint', 'router', 'team'];
document.addEventListener('click', event => {
  const chosen = event.target.closest('.event');
  const name = chosen && links.find(link => chosen.dataset[link]);
  for (const other of document.querySelectorAll('.event')) {
    const same = name && other.dataset[name] === chosen.dataset[name];
    other.classList.toggle('marked', Boolean(same));
  }
});
`;

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

function escape(text: string): string {
  return text.replace(/[&<>"']/g, character => ESCAPES[character] ?? '');
}

function dataAttributes(event: MergedEvent): string {
  return Object.entries(event.links)
    .map(([name, value]) => `data-${escape(name)}="${escape(String(value))}"`)
    .join(' ');
}

function cell(event: MergedEvent): string {
  const [family = ''] = event.kind.split('-');
  const description = escape(describeEvent(event));
  return (
    `<div class="event ${escape(family)}" ${dataAttributes(event)}>` +
    `${escape(event.kind)}<br><small>${description}</small></div>`
  );
}

function row(event: MergedEvent, lanes: readonly string[]): string {
  const cells = lanes.map(lane =>
    lane === event.process ? `<td>${cell(event)}</td>` : '<td></td>',
  );
  const time = `${timeOfDay(event.stamp[0])} +${event.stamp[1]}`;
  return `<tr><td>${time}</td>${cells.join('')}</tr>`;
}

/** Returns the HTML page; all text of events is escaped. */
export function timelinePage(
  events: readonly MergedEvent[],
  lost: readonly LostEvents[],
): string {
  const lanes = [...new Set(events.map(event => event.process))].sort();
  const headers = lanes.map(lane => `<th>${escape(lane)}</th>`).join('');
  const lostLines = lost
    .map(entry => `<p class="lost">${escape(lostLine(entry))}</p>`)
    .join('\n');
  const rows = events.map(event => row(event, lanes)).join('\n');
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>sesamegrade timeline</title><style>${STYLE}</style></head>
<body>
<h1>Timeline</h1>
<p>${events.length} events of ${lanes.length} processes, times in UTC. Click an event to highlight the events related to it.</p>
${lostLines}
<table><thead><tr><th>time</th>${headers}</tr></thead>
<tbody>
${rows}
</tbody></table>
<script>${SCRIPT}</script>
</body></html>
`;
}
