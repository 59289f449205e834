/** Writes structured log lines as JSON. */
import winston from 'winston';
import type { Logger } from 'winston';

import type { Settings } from '@sesamegrade/settings/schema';

export interface LoggerOptions {
  readonly level: string;
  /** Fields that are added to every line. */
  readonly fields: Readonly<Record<string, string>>;
  readonly stream: NodeJS.WritableStream;
  /** Whether each line contains the wall-clock time. */
  readonly timestamps: boolean;
}

/** Creates a logger that writes JSON lines to a stream. */
export function openLogger(options: LoggerOptions): Logger {
  const json = winston.format.json();
  const logger = winston.createLogger({
    level: options.level,
    defaultMeta: options.fields,
    format: options.timestamps
      ? winston.format.combine(winston.format.timestamp(), json)
      : json,
  });
  return logger.add(new winston.transports.Stream({ stream: options.stream }));
}

/** Creates the router's logger, which writes JSON lines to standard error. */
export function createLogger({ router, log }: Settings): Logger {
  return openLogger({
    level: log.level,
    fields: { router: router.id, zone: router.zone },
    stream: process.stderr,
    timestamps: true,
  });
}
