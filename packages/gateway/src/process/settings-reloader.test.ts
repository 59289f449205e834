import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';

import { expect } from 'chai';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { openLogger } from '@sesamegrade/router/logs/logger';
import { StreamOutput } from '@sesamegrade/router/logs/stream-output';
import { gatewaySettingsSchema } from '@sesamegrade/settings/gateway-schema';
import { parseIni } from '@sesamegrade/settings/parse';
import type { DecisionLog, LogFields } from '../logs/decision-log';
import { SettingsReloader } from './settings-reloader';
import { SettingsFileWatcher } from './settings-file-watcher';

const iniText = (slack: number, zone = 'a', grace = 8) => `[router]
id = r
zone = ${zone}
callers = 127.0.0.1:1
ready = 127.0.0.1:2
peers = 127.0.0.1:3
[store]
address = 127.0.0.1:4
[stop]
grace_seconds = ${grace}
[retries]
ratio = 0.2
window_seconds = 10
slack = ${slack}
`;

function setUp() {
  const parsed = parseIni(gatewaySettingsSchema, 'r.ini', iniText(126));
  if (!parsed.ok) {
    throw new Error(JSON.stringify(parsed.failure));
  }
  const lines: [string, LogFields][] = [];
  const log = {
    write: (kind: string, fields: LogFields = {}) => {
      lines.push([kind, fields]);
    },
  } as unknown as DecisionLog;
  const logger = openLogger({
    level: 'info',
    fields: {},
    output: new StreamOutput(new PassThrough()),
    timestamps: false,
  });
  const settings = parsed.value;
  const reloader = new SettingsReloader({ settings, logger, log });
  return { reloader, lines, log };
}

describe('SettingsReloader', () => {
  it('applies reloadable changes and logs which were applied and which need a restart', () => {
    const { reloader, lines } = setUp();
    reloader.reload('r.ini', iniText(50, 'b', 4), 'signal');
    expect(reloader.current.retries.slack).to.equal(50);
    expect(reloader.current.stop.grace_seconds).to.equal(4000);
    expect(reloader.current.router.zone).to.equal('a');
    expect(lines).to.deep.equal([
      [
        'settings',
        {
          cause: 'signal',
          applied: [
            {
              section: 'stop',
              key: 'grace_seconds',
              before: '8000',
              after: '4000',
            },
            { section: 'retries', key: 'slack', before: '126', after: '50' },
          ],
          needRestart: [
            { section: 'router', key: 'zone', before: '"a"', after: '"b"' },
          ],
        },
      ],
    ]);
  });

  it('keeps the settings in force when the new text fails validation', () => {
    const { reloader, lines } = setUp();
    reloader.reload('r.ini', '[router]\nid = r\n', 'signal');
    expect(reloader.current.retries.slack).to.equal(126);
    expect(lines.map(([kind]) => kind)).to.deep.equal(['settings-rejected']);
  });
});

describe('SettingsFileWatcher', () => {
  let folder: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'settings-'));
  });

  afterEach(async () => {
    await rm(folder, { recursive: true });
  });

  it('reloads a changed file without a signal, once, and logs a missing file', async () => {
    const { reloader, lines, log } = setUp();
    const file = join(folder, 'r.ini');
    const timers = new ManualTimerService();
    const text = iniText(126);
    const options = { file, text, settingsReloader: reloader, timers, log };
    const watcher = new SettingsFileWatcher(options);
    watcher.check('file-changed');
    await writeFile(file, text);
    watcher.check('file-changed');
    await writeFile(file, iniText(77));
    watcher.check('file-changed');
    watcher.check('file-changed');
    expect(reloader.current.retries.slack).to.equal(77);
    expect(lines.map(([kind]) => kind)).to.deep.equal([
      'settings-unreadable',
      'settings',
    ]);
  });

  it('logs a line for every signal, even when the file is unchanged', async () => {
    const { reloader, lines, log } = setUp();
    const file = join(folder, 'r.ini');
    const text = iniText(126);
    await writeFile(file, text);
    const timers = new ManualTimerService();
    const options = { file, text, settingsReloader: reloader, timers, log };
    new SettingsFileWatcher(options).check('signal');
    expect(lines).to.deep.equal([
      ['settings', { cause: 'signal', applied: [], needRestart: [] }],
    ]);
  });
});
