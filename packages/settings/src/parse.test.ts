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

function faultsOf(text: string): string[] {
  const parsed = parseSettings('test.ini', text);
  return parsed.ok ? [] : parsed.failure.map(formatFailure);
}

describe('settings', () => {
  it('fills in defaults', () => {
    const parsed = parseSettings('test.ini', MINIMAL);
    expect(parsed.ok && parsed.value.control.bytes_per_second).to.equal(5000);
    expect(parsed.ok && parsed.value.limits.resume_grace_ms).to.equal(2000);
  });

  it('names file, section and key of every fault', () => {
    const faults = faultsOf(
      `${MINIMAL}\n[limits]\nbody_bytes = many\nsize = 3\n[bogus]\na = 1\n`,
    );
    expect(faults.some(line => line.includes('[limits] body_bytes'))).to.equal(
      true,
    );
    expect(faults).to.include(
      'test.ini: [limits] size: no such key in this section',
    );
    expect(faults).to.include('test.ini: [bogus] : no such section');
  });

  it('refuses a file without the required sections', () => {
    expect(faultsOf('').join('\n')).to.match(/\[router\].*\n.*\[platform\]/u);
  });

  it('refuses engines without models and teams without a hashed key', () => {
    const faults = faultsOf(
      `${MINIMAL}\n[service.drafting]\nkind = engine\n[team.acme]\nkey_sha256 = secret\n`,
    );
    expect(faults.join('\n')).to.include('[team.acme] key_sha256');
    const engines = faultsOf(`${MINIMAL}\n[service.drafting]\nkind = engine\n`);
    expect(engines).to.deep.equal([
      'test.ini: [service.drafting] models: engines name at least one model',
    ]);
  });

  it('lists every key in the reference', () => {
    const reference = settingsReference();
    expect(reference).to.include('| `stall_timeout_ms` | `30000` |');
    expect(reference).to.include('### [team.NAME]');
  });
});
