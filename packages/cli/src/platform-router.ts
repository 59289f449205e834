/** Entry point of the router on the platform: the one place that joins it to the adapter. */
import { readFileSync } from 'node:fs';

import { composeGateway } from '@sesamegrade/gateway/composition/gateway-container';
import { connectPlatform } from '@sesamegrade/platform/connect';
import { formatFailure, parseIni } from '@sesamegrade/settings/parse';
import { gatewaySettingsSchema } from '@sesamegrade/settings/gateway-schema';

const EXIT_SETTINGS = 2;

async function run(): Promise<void> {
  const file = process.env.SESAMEGRADE_CONFIG ?? '';
  const parsed = parseIni(
    gatewaySettingsSchema,
    file,
    readFileSync(file, 'utf8'),
  );
  if (!parsed.ok) {
    for (const failure of parsed.failure) {
      process.stderr.write(`${formatFailure(failure)}\n`);
    }
    // Callers may already be connected; they must not wait for a router that will not come.
    process.exit(EXIT_SETTINGS);
  }
  const settings = parsed.value;
  const { gateway } = composeGateway(
    settings,
    connectPlatform(settings.store),
    process.env[settings.peers.secret_env] ?? '',
  ).cradle;
  process.once('SIGTERM', () => {
    void gateway.stop().finally(() => {
      process.exit(0);
    });
  });
  await gateway.start();
}

void run();
