/** Line plots over time as inline SVG. */

const WIDTH = 760;
const HEIGHT = 220;
const LEFT = 56;
const RIGHT = 12;
const TOP = 12;
const BOTTOM = 34;
const TICKS = 4;
const COLOURS = ['#1f5fa8', '#c2571a', '#3b8132', '#7a3b8f', '#8a6d1a'];

/** One line of a plot; each point is the time in seconds from the start, and a value. */
export interface PlotLine {
  readonly name: string;
  readonly points: readonly (readonly [second: number, value: number])[];
}

export interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly lines: readonly PlotLine[];
  /** Length of the time axis in seconds. */
  readonly seconds: number;
}

/** Escapes text for HTML and SVG. */
export function escapeText(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

/** Rounds up to 1, 2 or 5 times a power of ten. */
function roundUp(value: number): number {
  if (value <= 0) {
    return 1;
  }
  const power = 10 ** Math.floor(Math.log10(value));
  const step = [1, 2, 5, 10].find(factor => factor * power >= value) ?? 10;
  return step * power;
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(3)));
}

/** Renders a plot; lines without points appear in the legend only. */
export function renderPlot(plot: Plot): string {
  const values = plot.lines.flatMap(line =>
    line.points.map(([, value]) => value),
  );
  const top = roundUp(
    values.reduce((highest, value) => Math.max(highest, value), 0),
  );
  const x = (second: number) =>
    LEFT + (second / Math.max(1, plot.seconds)) * (WIDTH - LEFT - RIGHT);
  const y = (value: number) =>
    HEIGHT - BOTTOM - (value / top) * (HEIGHT - TOP - BOTTOM);
  const lines = plot.lines.map(({ points }, index) => {
    const path = points.map(
      ([second, value]) => `${x(second).toFixed(1)},${y(value).toFixed(1)}`,
    );
    return `<polyline fill="none" stroke="${colour(index)}" stroke-width="1.5" points="${path.join(' ')}"/>`;
  });
  const figure = [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeText(plot.title)}">`,
    ...horizontalTicks(top, y),
    ...verticalTicks(plot.seconds, x),
    ...lines,
    '</svg>',
  ];
  const heading = `${escapeText(plot.title)} <small>(${escapeText(plot.unit)})</small>`;
  return `<h2>${heading}</h2>\n${legend(plot)}\n${figure.join('\n')}`;
}

function colour(index: number): string {
  return COLOURS[index % COLOURS.length] ?? '#000000';
}

function legend({ lines }: Plot): string {
  const entries = lines.map(
    ({ name }, index) =>
      `<span style="color:${colour(index)}">■ ${escapeText(name)}</span>`,
  );
  return `<p class="legend">${entries.join(' ')}</p>`;
}

function horizontalTicks(top: number, y: (value: number) => number): string[] {
  return Array.from({ length: TICKS + 1 }, (_, index) => {
    const value = (top * index) / TICKS;
    const at = y(value).toFixed(1);
    return (
      `<line class="grid" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${at}" y2="${at}"/>` +
      `<text x="${LEFT - 6}" y="${at}" text-anchor="end" dy="4">${formatNumber(value)}</text>`
    );
  });
}

function verticalTicks(
  seconds: number,
  x: (second: number) => number,
): string[] {
  const step = Math.max(1, roundUp(seconds / 10));
  const count = Math.floor(seconds / step) + 1;
  return Array.from({ length: count }, (_, index) => {
    const second = index * step;
    const at = x(second).toFixed(1);
    return `<text x="${at}" y="${HEIGHT - 12}" text-anchor="middle">${second} s</text>`;
  });
}
