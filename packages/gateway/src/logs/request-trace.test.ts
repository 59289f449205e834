import { expect } from 'chai';

import { formatLine, traceRequest } from './request-trace';

const line = (
  second: number,
  router: string,
  message: string,
  fields: Readonly<Record<string, unknown>> = {},
) =>
  JSON.stringify({
    timestamp: `2026-12-04T01:00:${String(second).padStart(2, '0')}.000Z`,
    level: 'info',
    router,
    message,
    ...fields,
  });

describe('traceRequest', () => {
  it('orders the lines of a request from several logs by time', () => {
    const trace = traceRequest('q', [
      line(12, 'b', 'refused', { request: 'q' }),
      line(10, 'a', 'attempt', { request: 'q', endpoint: 'e' }),
      line(11, 'a', 'attempt', { request: 'other' }),
    ]);
    expect(trace.own.map(({ router }) => router)).to.deep.equal(['a', 'b']);
  });

  it('adds state changes of its routers from shortly before, and none of other routers', () => {
    const trace = traceRequest('q', [
      line(1, 'a', 'dependency-lost'),
      line(8, 'a', 'endpoint-standing', { kind: 'ejected', endpoint: 'e' }),
      line(8, 'b', 'dependency-lost'),
      line(9, 'a', 'attempt', { request: 'other' }),
      line(10, 'a', 'attempt', { request: 'q' }),
      line(20, 'a', 'stop'),
    ]);
    expect(trace.around.map(({ message }) => message)).to.deep.equal([
      'endpoint-standing',
    ]);
  });

  it('counts unreadable lines and reads on', () => {
    const trace = traceRequest('q', [
      'oops',
      '{"a":1}',
      line(1, 'a', 'refused', { request: 'q' }),
    ]);
    expect(trace.unreadable).to.equal(2);
    expect(trace.own).to.have.length(1);
  });

  it('formats a line with its fields but not the hidden ones', () => {
    const [own] = traceRequest('q', [
      line(1, 'a', 'refused', { request: 'q', at: 5, cause: 'full' }),
    ]).own;
    expect(own && formatLine(own)).to.equal(
      '2026-12-04T01:00:01.000Z a refused cause="full"',
    );
  });
});
