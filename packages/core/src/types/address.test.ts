import { expect } from 'chai';
import fc from 'fast-check';

import { formatAddress, hostSchema, parseAddress } from './address';

describe('parseAddress', () => {
  it('accepts IP addresses with a port', () => {
    expect(parseAddress('10.0.0.1:80')).to.deep.equal({
      host: '10.0.0.1',
      port: 80,
    });
    expect(parseAddress('[::1]:65535')).to.deep.equal({
      host: '::1',
      port: 65_535,
    });
  });

  it('rejects names, URLs, ports out of range and surplus text', () => {
    for (const text of [
      'http://127.0.0.1:80',
      '10.0.0.300:80',
      '10.0.0.1:80:81',
      'localhost:80',
      '::1:80',
      '[10.0.0.1]:80',
      '10.0.0.1:65536',
      '10.0.0.1:1e3',
      '10.0.0.1:',
      ':80',
      '',
    ]) {
      expect(parseAddress(text), text).to.equal(undefined);
    }
  });

  // Guards against an address that a URL or a socket rejects with an exception.
  it('accepts no text that cannot be part of a URL', () => {
    const text = fc.oneof(
      fc.string(),
      fc.webUrl(),
      fc.tuple(fc.ipV4Extended(), fc.nat()).map(parts => parts.join(':')),
      fc.tuple(fc.ipV6(), fc.nat()).map(([host, port]) => `[${host}]:${port}`),
    );
    fc.assert(
      fc.property(text, value => {
        const address = parseAddress(value);
        if (!address) {
          return;
        }
        expect(hostSchema.safeParse(address.host).success).to.equal(true);
        const authority = formatAddress(address);
        expect(new URL(`http://${authority}/`).pathname).to.equal('/');
        expect(parseAddress(authority)).to.deep.equal(address);
      }),
      { seed: 1, numRuns: 1000 },
    );
  });
});
