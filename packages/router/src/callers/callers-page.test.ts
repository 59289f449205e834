import { execFile } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { promisify } from 'node:util';

import { expect } from 'chai';

import { TEST_KEY, TestFleet } from '../testing/test-fleet';

const runFile = promisify(execFile);

/** Expected output of each command of docs/CALLERS.md, in the order of the page. */
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

  it('lists commands that print the documented output', async () => {
    const path = new URL('../../../../docs/CALLERS.md', import.meta.url);
    const page = readFileSync(path, 'utf8');
    const commands = [...page.matchAll(/```bash\n([\s\S]*?)```/gu)].map(
      match => match[1] ?? '',
    );
    expect(commands.length).to.equal(EXPECTED.length);
    const env = { ...process.env, ROUTER: fleet.urls[0], KEY: TEST_KEY };
    for (const [index, command] of commands.entries()) {
      const { stdout } = await runFile('bash', ['-c', command], { env });
      expect(stdout, command).to.match(EXPECTED[index]!);
    }
  });
});
