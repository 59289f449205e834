/** Formats merged events as lines of text. */
import type { LostEvents, MergedEvent } from './merged-timeline';

const KIND_WIDTH = 22;
const MS_PER_DAY = 86_400_000;
const MS_PER_HOUR = 3_600_000;
const MS_PER_MINUTE = 60_000;
const MS_PER_SECOND = 1000;

function digits(value: number, width: number): string {
  return String(Math.floor(value)).padStart(width, '0');
}

/** Returns the time of day in UTC for Unix milliseconds. */
export function timeOfDay(unixMs: number): string {
  const day = unixMs % MS_PER_DAY;
  const hours = digits(day / MS_PER_HOUR, 2);
  const minutes = digits((day % MS_PER_HOUR) / MS_PER_MINUTE, 2);
  const seconds = digits((day % MS_PER_MINUTE) / MS_PER_SECOND, 2);
  return `${hours}:${minutes}:${seconds}.${digits(day % MS_PER_SECOND, 3)}`;
}

/** Replaces control characters, so that no text of an event can control a terminal. */
function printable(text: string): string {
  // eslint-disable-next-line no-control-regex
  return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, '?');
}

/** Returns the links and details of an event as `name=value` pairs without control characters. */
export function describeEvent(event: MergedEvent): string {
  const pairs = { ...event.links, ...event.detail };
  return Object.entries(pairs)
    .filter(([, value]) => value !== '')
    .map(([name, value]) => printable(`${name}=${value}`))
    .join(' ');
}

/** Returns an event as one line for a terminal. */
export function eventLine(event: MergedEvent, processWidth: number): string {
  const time = timeOfDay(event.stamp[0]);
  const counter = `+${event.stamp[1]}`.padEnd(4);
  const process = printable(event.process).padEnd(processWidth);
  const kind = printable(event.kind).padEnd(KIND_WIDTH);
  return `${time}${counter} ${process} ${kind} ${describeEvent(event)}`.trimEnd();
}

/** Returns the line that reports events which no reader can get any more. */
export function lostLine(lost: LostEvents): string {
  return `lost: ${lost.count} events of ${printable(lost.process)} were dropped before they were read`;
}
