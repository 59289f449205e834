import { execFile } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { promisify } from 'node:util';

import { expect } from 'chai';

import { TEST_KEY, TestFleet } from '../testing/test-fleet';

const run = promisify(execFile);

/** What each command of docs/CALLERS.md prints, in order. */
const EXPECTED = [
  /"object":"list"/u,
  /"finish_reason":"stop"/u,
  /data: \[DONE\]/u,
  /"execution":1/u,
  /:key-required".*"outcome":"not_run"/u,
  /"alive".*"ready":true/u,
];

describe('docs/CALLERS.md', () => {
  const fleet = new TestFleet();

  before(() => fleet.start({ routers: 1, engines: 1 }));

  after(() => fleet.stop());

  it('has commands that print what the page says', async () => {
    const path = new URL('../../../../docs/CALLERS.md', import.meta.url);
    const page = readFileSync(path, 'utf8');
    const commands = [...page.matchAll(/```bash\n([\s\S]*?)```/gu)].map(
      match => match[1] ?? '',
    );
    expect(commands.length).to.equal(EXPECTED.length);
    const env = { ...process.env, ROUTER: fleet.urls[0], KEY: TEST_KEY };
    for (const [index, command] of commands.entries()) {
      const { stdout } = await run('bash', ['-c', command], { env });
      expect(stdout, command).to.match(EXPECTED[index]!);
    }
  });
});
