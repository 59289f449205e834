import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';

import { expect } from 'chai';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { openLogger } from '@sesamegrade/router/logs/logger';
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

function open() {
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
    stream: new PassThrough(),
    timestamps: false,
  });
  const settings = parsed.value;
  const live = new SettingsReloader({ settings, logger, log });
  return { live, lines, log };
}

describe('LiveSettings', () => {
  it('puts changes in force and says what changed and what needs a restart', () => {
    const { live, lines } = open();
    live.reload('r.ini', iniText(50, 'b', 4), 'signal');
    expect(live.current.retries.slack).to.equal(50);
    expect(live.current.stop.grace_seconds).to.equal(4000);
    expect(live.current.router.zone).to.equal('a');
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

  it('keeps what is in force when the new text fails the check', () => {
    const { live, lines } = open();
    live.reload('r.ini', '[router]\nid = r\n', 'signal');
    expect(live.current.retries.slack).to.equal(126);
    expect(lines.map(([kind]) => kind)).to.deep.equal(['settings-rejected']);
  });
});

describe('SettingsWatch', () => {
  let folder: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'settings-'));
  });

  afterEach(async () => {
    await rm(folder, { recursive: true });
  });

  it('notices a changed file without a signal, and a file that is gone', async () => {
    const { live, lines, log } = open();
    const file = join(folder, 'r.ini');
    const timers = new ManualTimerService();
    const text = iniText(126);
    const options = { file, text, settingsReloader: live, timers, log };
    const watch = new SettingsFileWatcher(options);
    watch.check('file-changed');
    await writeFile(file, text);
    watch.check('file-changed');
    await writeFile(file, iniText(77));
    watch.check('file-changed');
    watch.check('file-changed');
    expect(live.current.retries.slack).to.equal(77);
    expect(lines.map(([kind]) => kind)).to.deep.equal([
      'settings-unreadable',
      'settings',
    ]);
  });

  it('answers every signal with a line', async () => {
    const { live, lines, log } = open();
    const file = join(folder, 'r.ini');
    const text = iniText(126);
    await writeFile(file, text);
    const timers = new ManualTimerService();
    const options = { file, text, settingsReloader: live, timers, log };
    new SettingsFileWatcher(options).check('signal');
    expect(lines).to.deep.equal([
      ['settings', { cause: 'signal', applied: [], needRestart: [] }],
    ]);
  });
});
