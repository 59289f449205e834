import { createHash } from 'node:crypto';

import { expect } from 'chai';

import { parseSettings } from '@sesamegrade/settings/parse';
import { RouterSettings } from './router-settings';

describe('RouterSettings of a process trial', () => {
  for (const deployment of ['sellada', 'tagueo']) {
    it(`derives valid settings from ${deployment} and replaces its team keys`, () => {
      const source = new RouterSettings(`deploy/${deployment}.ini`);
      const text = source.file('router-7', 'http://127.0.0.1:7001');
      const settings = parseSettings('trial.ini', text);
      expect(settings.ok).to.equal(true);
      if (!settings.ok) {
        return;
      }
      expect(settings.value.router).to.include({ id: 'router-7' });
      expect(settings.value.platform.url).to.equal('http://127.0.0.1:7001');
      const hashes = source
        .teams()
        .map(({ team, key }) => [
          team,
          createHash('sha256').update(key).digest('hex'),
        ]);
      const accepted = Object.entries(settings.value.team).map(
        ([team, { key_sha256: hash }]) => [team, hash],
      );
      expect(accepted).to.deep.equal(hashes);
      expect(source.services()).to.have.length(1);
      expect(source.models()).to.have.length.greaterThan(0);
    });
  }
});
