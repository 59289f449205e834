/** Structured log lines, written only when a state changes. */
import winston from 'winston';
import type { Logger } from 'winston';

import type { Settings } from '@sesamegrade/settings/schema';

/** Makes a logger that writes JSON lines to standard error. */
export function createLogger({ router, log }: Settings): Logger {
  const logger = winston.createLogger({
    level: log.level,
    defaultMeta: { router: router.id, zone: router.zone },
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
  });
  return logger.add(new winston.transports.Stream({ stream: process.stderr }));
}
