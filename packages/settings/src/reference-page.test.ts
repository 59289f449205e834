import { readFileSync } from 'node:fs';

import { expect } from 'chai';

import { settingsPage } from './reference-page';

describe('docs/SETTINGS.md', () => {
  it('equals the page generated from the schema', () => {
    const path = new URL('../../../docs/SETTINGS.md', import.meta.url);
    expect(readFileSync(path, 'utf8')).to.equal(settingsPage());
  });
});
