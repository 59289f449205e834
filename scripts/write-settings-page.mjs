// Generates docs/SETTINGS.md from the settings schema.
import { writeFileSync } from 'node:fs';

import { settingsPage } from '../packages/settings/src/reference-page.ts';

writeFileSync(new URL('../docs/SETTINGS.md', import.meta.url), settingsPage());
