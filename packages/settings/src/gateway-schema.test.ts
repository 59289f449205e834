import { expect } from 'chai';

import { gatewaySettingsSchema } from './gateway-schema';
import { formatFailure, parseIni } from './parse';
import { settingsChanges } from './settings-change';

type Sections = Readonly<Record<string, Readonly<Record<string, string>>>>;

const minimal: Sections = {
  router: {
    id: 'router-1',
    zone: 'zone-a',
    callers: '10.0.0.1:1',
    ready: '10.0.0.1:2',
    peers: '10.0.0.1:3',
  },
  store: { address: '10.0.0.2:1' },
  stop: { grace_seconds: '8' },
  retries: { ratio: '0.2', window_seconds: '10', slack: '126' },
};

function toIni(sections: Sections): string {
  return Object.entries(sections)
    .map(([name, keys]) =>
      [
        `[${name}]`,
        ...Object.entries(keys).map(([key, value]) => `${key} = ${value}`),
      ].join('\n'),
    )
    .join('\n');
}

/** Parses the minimal settings with some keys changed. */
function parseWith(section: string, values: Readonly<Record<string, string>>) {
  const changed = {
    ...minimal,
    [section]: { ...minimal[section], ...values },
  };
  return parseIni(gatewaySettingsSchema, 'test.ini', toIni(changed));
}

function settingsWith(
  section: string,
  values: Readonly<Record<string, string>>,
) {
  const parsed = parseWith(section, values);
  if (!parsed.ok) {
    throw new Error(parsed.failure.map(formatFailure).join('\n'));
  }
  return parsed.value;
}

function errorsWithout(section: string, key: string): string[] {
  const values = Object.entries(minimal[section] ?? {}).filter(
    ([name]) => name !== key,
  );
  const sections = { ...minimal, [section]: Object.fromEntries(values) };
  const parsed = parseIni(gatewaySettingsSchema, 'test.ini', toIni(sections));
  return parsed.ok ? [] : parsed.failure.map(formatFailure);
}

function errorsWith(section: string, key: string, value: string): string[] {
  const parsed = parseWith(section, { [key]: value });
  return parsed.ok ? [] : parsed.failure.map(formatFailure);
}

describe('gatewaySettingsSchema', () => {
  // Guards against an empty value that is rejected, or taken as 0 in place of the default.
  for (const [section, key] of [
    ['router', 'first_start'],
    ['router', 'cpu_share'],
    ['router', 'cpu_speed'],
    ['router', 'memory_mb'],
    ['peers', 'seeds'],
    ['bounds', 'departure_ms'],
    ['bounds', 'configuration_ms'],
    ['bounds', 'cold_overage'],
    ['bounds', 'cold_slack'],
  ] as const) {
    it(`takes an empty ${section}.${key} as not set`, () => {
      const changes = settingsChanges(
        settingsWith(section, {}),
        settingsWith(section, { [key]: '' }),
      );
      expect(changes).to.deep.equal([]);
    });
  }

  // Guards against an empty value of a required setting that is taken as 0.
  for (const [section, key] of [
    ['router', 'id'],
    ['router', 'zone'],
    ['router', 'callers'],
    ['router', 'ready'],
    ['router', 'peers'],
    ['store', 'address'],
    ['stop', 'grace_seconds'],
    ['retries', 'ratio'],
    ['retries', 'window_seconds'],
    ['retries', 'slack'],
  ] as const) {
    it(`rejects an empty ${section}.${key}`, () => {
      expect(errorsWith(section, key, '')).to.deep.equal([
        `test.ini: [${section}] ${key}: expected a value`,
      ]);
    });

    it(`rejects settings without ${section}.${key}`, () => {
      const errors = errorsWithout(section, key);
      expect(errors).to.have.length(1);
      expect(errors[0]).to.include(`[${section}] ${key}: `);
    });
  }

  // Guards against values that are no longer checked where an empty one is accepted.
  it('rejects invalid values of settings that may be empty', () => {
    for (const [section, key, value] of [
      ['router', 'first_start', 'perhaps'],
      ['router', 'cpu_share', '0'],
      ['router', 'cpu_speed', 'fast'],
      ['router', 'memory_mb', '-1'],
      ['peers', 'seeds', 'nowhere'],
      ['bounds', 'departure_ms', '0'],
      ['bounds', 'configuration_ms', 'soon'],
      ['bounds', 'cold_overage', '0'],
      ['bounds', 'cold_slack', '-1'],
    ] as const) {
      expect(errorsWith(section, key, value), key).to.have.length(1);
    }
  });

  // Guards against 0 that counts as not set where it is a valid value.
  it('keeps a slack of 0', () => {
    expect(settingsWith('bounds', { cold_slack: '0' }).bounds).to.include({
      cold_slack: 0,
    });
  });

  it('lets admission control be set regardless of the bounds', () => {
    const admissionOf = (section: string, values: Record<string, string>) =>
      settingsWith(section, values).admission.enabled;
    expect(admissionOf('admission', {})).to.equal(false);
    expect(admissionOf('admission', { enabled: 'true' })).to.equal(true);
    expect(admissionOf('bounds', { cold_overage: '2' })).to.equal(true);
  });
});
