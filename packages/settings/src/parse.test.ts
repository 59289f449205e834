import { expect } from 'chai';

import { formatFailure, parseSettings } from './parse';
import { settingsReference } from './reference';

const MINIMAL = `
[router]
id = router-1
zone = zone-a

[platform]
url = http://127.0.0.1:9000
`;

function errorsOf(text: string): string[] {
  const parsed = parseSettings('test.ini', text);
  return parsed.ok ? [] : parsed.failure.map(formatFailure);
}

describe('parseSettings', () => {
  it('fills in the defaults of absent sections and keys', () => {
    const parsed = parseSettings('test.ini', MINIMAL);
    expect(parsed.ok && parsed.value.control.bytes_per_second).to.equal(5000);
    expect(parsed.ok && parsed.value.limits.resume_grace_ms).to.equal(2000);
  });

  it('reports every error with its file, section and key', () => {
    const errors = errorsOf(
      `${MINIMAL}\n[limits]\nbody_bytes = many\nsize = 3\n[bogus]\na = 1\n`,
    );
    expect(errors.some(line => line.includes('[limits] body_bytes'))).to.equal(
      true,
    );
    expect(errors).to.include(
      'test.ini: [limits] size: unknown key in this section; remove it or correct its name',
    );
    expect(errors).to.include(
      'test.ini: [bogus] : unknown section; remove it or correct its name',
    );
  });

  it('rejects a file without the required sections', () => {
    expect(errorsOf('').join('\n')).to.match(/\[router\].*\n.*\[platform\]/u);
  });

  it('rejects engines without models and team keys that are not hashed', () => {
    const errors = errorsOf(
      `${MINIMAL}\n[service.drafting]\nkind = engine\n[team.acme]\nkey_sha256 = secret\n`,
    );
    expect(errors.join('\n')).to.include('[team.acme] key_sha256');
    const engines = errorsOf(`${MINIMAL}\n[service.drafting]\nkind = engine\n`);
    expect(engines).to.deep.equal([
      'test.ini: [service.drafting] models: expected at least one model, as kind is "engine"',
    ]);
  });

  it('lists keys with their defaults and sections in the reference', () => {
    const reference = settingsReference();
    expect(reference).to.include('| `stall_timeout_ms` | `30000` |');
    expect(reference).to.include('### [team.NAME]');
  });
});
