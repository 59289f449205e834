import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { expect } from 'chai';

import {
  manifest,
  TEST_ROUTES,
} from '@sesamegrade/stand-ins/deployment/deployment-documents';

const MAIN = new URL('../main.ts', import.meta.url).pathname;

interface CommandResult {
  readonly code: number | string;
  readonly output: string;
}

describe('sesamegrade check-configuration', () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'sesamegrade-'));
  });

  afterEach(() => {
    rmSync(folder, { recursive: true });
  });

  function write(name: string, document: unknown): string {
    const file = join(folder, name);
    writeFileSync(file, JSON.stringify(document));
    return file;
  }

  function check(...options: string[]): Promise<CommandResult> {
    return new Promise(resolve => {
      execFile(
        process.execPath,
        ['--import', 'tsx', MAIN, 'check-configuration', ...options],
        (error, stdout, stderr) => {
          resolve({ code: error?.code ?? 0, output: stdout + stderr });
        },
      );
    });
  }

  const onlyUsed = (document: unknown) => {
    const { services, ...rest } = document as { services: { name: string }[] };
    return {
      ...rest,
      services: services.filter(({ name }) => name === 'registry'),
    };
  };

  it('exits with 0 if there is nothing to find, and names the differences', async () => {
    const before = write('before.json', onlyUsed(manifest(1)));
    const [first, ...others] = TEST_ROUTES;
    const after = write('after.json', onlyUsed(manifest(2, others)));
    const { code, output } = await check(after, '--in-force', before);
    expect(output).to.equal(`removed: route ${first?.name ?? ''}\n`);
    expect(code).to.equal(0);
  });

  it('exits with 1 if there are findings, also as JSON', async () => {
    const document = onlyUsed(manifest(1));
    const file = write('same.json', document);
    const { code, output } = await check(file, '--in-force', file, '--json');
    expect(code).to.equal(1);
    expect(JSON.parse(output)).to.deep.equal({
      findings: [
        {
          severity: 'error',
          subject: 'version',
          message:
            'version 1 is not above 1, the one in force, and would be ignored',
        },
      ],
      differences: [],
    });
  });

  it('exits with 2 and names the field if the router could not read it', async () => {
    const file = write('damaged.json', {
      ...(manifest(1) as object),
      limits: { maxHeaderBytes: 'x' },
    });
    const { code, output } = await check(file);
    expect(output).to.contain('limits.maxHeaderBytes: expected a number');
    expect(code).to.equal(2);
  });

  it('exits with 2 if there is no such file', async () => {
    expect((await check(join(folder, 'none.json'))).code).to.equal(2);
  });
});
