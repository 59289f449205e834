import { readFileSync } from 'node:fs';

import { expect } from 'chai';

import { PAGE_OPTIONS, failures, renderMatrix, runMatrix } from './report';
import { scenarios } from './scenarios';

describe('fault matrix', () => {
  it('has no failing cell or pair, and docs/FAULTS.md shows the current results', () => {
    const all = scenarios();
    const matrix = runMatrix(all, PAGE_OPTIONS);
    expect(failures(matrix)).to.deep.equal([]);
    const page = new URL('../../../../docs/FAULTS.md', import.meta.url);
    expect(readFileSync(page, 'utf8')).to.equal(
      renderMatrix(all, matrix, PAGE_OPTIONS),
    );
  });
});
