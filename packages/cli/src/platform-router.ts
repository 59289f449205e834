/** Entry point of the router on a deployment's platform; composes the gateway with the platform adapter. */
import { readFileSync } from 'node:fs';

import { composeGateway } from '@sesamegrade/gateway/composition/gateway-container';
import { SettingsFileWatcher } from '@sesamegrade/gateway/process/settings-file-watcher';
import { connectPlatform } from '@sesamegrade/platform/connect';
import { formatFailure, parseIni } from '@sesamegrade/settings/parse';
import { gatewaySettingsSchema } from '@sesamegrade/settings/gateway-schema';

const EXIT_FAILURE = 1;
const EXIT_SETTINGS = 2;

async function run(): Promise<void> {
  const file = process.env.SESAMEGRADE_CONFIG ?? '';
  const text = readFileSync(file, 'utf8');
  const parsed = parseIni(gatewaySettingsSchema, file, text);
  if (!parsed.ok) {
    for (const failure of parsed.failure) {
      process.stderr.write(`${formatFailure(failure)}\n`);
    }
    // Exits at once: callers that are already connected must not wait for a router that never starts.
    process.exit(EXIT_SETTINGS);
  }
  const settings = parsed.value;
  const { gateway, settingsReloader, timers, log, logOutput } = composeGateway(
    settings,
    connectPlatform(settings.store),
    process.env[settings.peers.secret_env] ?? '',
  ).cradle;
  const stop = () => {
    gateway
      .stop()
      .then(() => logOutput.close(timers))
      .then(() => {
        process.exit(0);
      }, exitWithError);
  };
  // A handler that stays keeps a second signal from ending the process at once.
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  const settingsWatcher = new SettingsFileWatcher({
    file,
    text,
    settingsReloader,
    timers,
    log,
  });
  process.on('SIGHUP', () => {
    settingsWatcher.check('signal');
  });
  await gateway.start();
  settingsWatcher.start();
}

function exitWithError(error: unknown): never {
  const text =
    error instanceof Error ? (error.stack ?? error.message) : String(error);
  process.stderr.write(`${text}\n`);
  process.exit(EXIT_FAILURE);
}

run().catch(exitWithError);
