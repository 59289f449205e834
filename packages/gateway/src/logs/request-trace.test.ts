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

describe('tellRequest', () => {
  it('orders the lines of a request over many logs', () => {
    const story = traceRequest('q', [
      line(12, 'b', 'refused', { request: 'q' }),
      line(10, 'a', 'attempt', { request: 'q', endpoint: 'e' }),
      line(11, 'a', 'attempt', { request: 'other' }),
    ]);
    expect(story.own.map(({ router }) => router)).to.deep.equal(['a', 'b']);
  });

  it('adds what its routers went through just before, and nothing of others', () => {
    const story = traceRequest('q', [
      line(1, 'a', 'dependency-lost'),
      line(8, 'a', 'endpoint-standing', { kind: 'ejected', endpoint: 'e' }),
      line(8, 'b', 'dependency-lost'),
      line(9, 'a', 'attempt', { request: 'other' }),
      line(10, 'a', 'attempt', { request: 'q' }),
      line(20, 'a', 'stop'),
    ]);
    expect(story.around.map(({ message }) => message)).to.deep.equal([
      'endpoint-standing',
    ]);
  });

  it('counts what it cannot read and goes on', () => {
    const story = traceRequest('q', [
      'oops',
      '{"a":1}',
      line(1, 'a', 'refused', { request: 'q' }),
    ]);
    expect(story.unreadable).to.equal(2);
    expect(story.own).to.have.length(1);
  });

  it('formats a line with its fields', () => {
    const [own] = traceRequest('q', [
      line(1, 'a', 'refused', { request: 'q', at: 5, cause: 'full' }),
    ]).own;
    expect(own && formatLine(own)).to.equal(
      '2026-12-04T01:00:01.000Z a refused cause="full"',
    );
  });
});
