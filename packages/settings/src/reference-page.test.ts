import { readFileSync } from 'node:fs';

import { expect } from 'chai';

import { settingsPage } from './reference-page';

describe('settings page', () => {
  it('is current', () => {
    const path = new URL('../../../docs/SETTINGS.md', import.meta.url);
    expect(readFileSync(path, 'utf8')).to.equal(settingsPage());
  });
});
