/** Writes structured log lines as JSON. */
import winston from 'winston';
import type { Logger } from 'winston';

import type { Settings } from '@sesamegrade/settings/schema';
import type { LogOutput } from './log-output';
import { OutputTransport } from './output-transport';

export interface LoggerOptions {
  readonly level: string;
  /** Fields that are added to every line. */
  readonly fields: Readonly<Record<string, string>>;
  readonly output: LogOutput;
  /** Whether each line contains the wall-clock time. */
  readonly timestamps: boolean;
}

/** Creates a logger that writes JSON lines to an output. */
export function openLogger(options: LoggerOptions): Logger {
  const json = winston.format.json();
  const logger = winston.createLogger({
    level: options.level,
    defaultMeta: options.fields,
    format: options.timestamps
      ? winston.format.combine(winston.format.timestamp(), json)
      : json,
  });
  return logger.add(new OutputTransport(options.output));
}

/** Creates the router's logger. */
export function createLogger(
  { router, log }: Settings,
  output: LogOutput,
): Logger {
  return openLogger({
    level: log.level,
    fields: { router: router.id, zone: router.zone },
    output,
    timestamps: true,
  });
}
