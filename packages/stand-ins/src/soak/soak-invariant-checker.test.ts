import { expect } from 'chai';

import { SoakInvariantChecker } from './soak-invariant-checker';

const promises = (ledger: SoakInvariantChecker) =>
  ledger.violations().map(({ promise }) => promise);

describe('SoakLedger', () => {
  it('finds a call that may not be repeated and ran twice', () => {
    const ledger = new SoakInvariantChecker();
    ledger.recordRequest('a', true);
    ledger.recordRequest('b', false);
    for (const request of ['a', 'a', 'b', 'b']) {
      ledger.recordRun({ request, endpoint: 'e', at: 1 });
    }
    expect(promises(ledger)).to.deep.equal(['at-most-once']);
  });

  it('finds a refusal of what had run, also when it runs later', () => {
    const ledger = new SoakInvariantChecker();
    ledger.recordRequest('a', true);
    ledger.recordResponse({ request: 'a', status: 503, body: '' });
    expect(promises(ledger)).to.deep.equal([]);
    ledger.recordRun({ request: 'a', endpoint: 'e', at: 9 });
    expect(promises(ledger)).to.deep.equal(['not-run']);
  });

  it('finds an answer that belongs to another request, but not one cut off', () => {
    const ledger = new SoakInvariantChecker();
    const body = SoakInvariantChecker.responseBody('b');
    ledger.recordResponse({ request: 'a', status: 200, body });
    ledger.recordResponse({ request: 'c', status: 200, body: undefined });
    expect(promises(ledger)).to.deep.equal(['own-answer']);
  });

  it('finds a request to an endpoint that left more than two seconds before', () => {
    const ledger = new SoakInvariantChecker();
    ledger.recordLeaving('e', 1000);
    ledger.recordRun({ request: 'a', endpoint: 'e', at: 2900 });
    expect(promises(ledger)).to.deep.equal([]);
    ledger.recordRun({ request: 'b', endpoint: 'e', at: 3100 });
    expect(promises(ledger)).to.deep.equal(['leaving']);
  });
});
