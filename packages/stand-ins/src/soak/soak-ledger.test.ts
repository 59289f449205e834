import { expect } from 'chai';

import { SoakLedger } from './soak-ledger';

const promises = (ledger: SoakLedger) =>
  ledger.violations().map(({ promise }) => promise);

describe('SoakLedger', () => {
  it('finds a call that may not be repeated and ran twice', () => {
    const ledger = new SoakLedger();
    ledger.asked('a', true);
    ledger.asked('b', false);
    for (const request of ['a', 'a', 'b', 'b']) {
      ledger.ran({ request, endpoint: 'e', at: 1 });
    }
    expect(promises(ledger)).to.deep.equal(['at-most-once']);
  });

  it('finds a refusal of what had run, also when it runs later', () => {
    const ledger = new SoakLedger();
    ledger.asked('a', true);
    ledger.answered({ request: 'a', status: 503, body: '' });
    expect(promises(ledger)).to.deep.equal([]);
    ledger.ran({ request: 'a', endpoint: 'e', at: 9 });
    expect(promises(ledger)).to.deep.equal(['not-run']);
  });

  it('finds an answer that belongs to another request, but not one cut off', () => {
    const ledger = new SoakLedger();
    const body = SoakLedger.bodyFor('b');
    ledger.answered({ request: 'a', status: 200, body });
    ledger.answered({ request: 'c', status: 200, body: undefined });
    expect(promises(ledger)).to.deep.equal(['own-answer']);
  });

  it('finds a request to an endpoint that left more than two seconds before', () => {
    const ledger = new SoakLedger();
    ledger.left('e', 1000);
    ledger.ran({ request: 'a', endpoint: 'e', at: 2900 });
    expect(promises(ledger)).to.deep.equal([]);
    ledger.ran({ request: 'b', endpoint: 'e', at: 3100 });
    expect(promises(ledger)).to.deep.equal(['leaving']);
  });
});
