import { expect } from 'chai';
import fc from 'fast-check';

import { endpointId } from '../types/ids';
import { instant } from '../types/units';
import {
  DEFAULT_ENDPOINT_SPEEDS_OPTIONS,
  EndpointSpeeds,
} from './endpoint-speeds';

const engine = endpointId('e');
const { initialWeight, decayTime, excessDecayTime, maxReduction } =
  DEFAULT_ENDPOINT_SPEEDS_OPTIONS;

describe('EndpointSpeeds', () => {
  // Guards against a speed that is in use after the period of 0.6 s that it is stated for.
  it('lets a stated speed decay to the usual one', () => {
    const speeds = new EndpointSpeeds();
    expect(speeds.speed(engine, instant(0))).to.equal(undefined);
    speeds.onReport(engine, { others: 0, slowdown: 2.5 }, instant(0));
    const at = (age: number) => speeds.speed(engine, instant(age)) ?? 0;
    expect(at(0)).to.be.closeTo(1 / (1 + 1.5 * initialWeight), 1e-9);
    expect(at(decayTime / 2)).to.be.within(at(0), 1);
    expect(at(decayTime)).to.equal(1);
    speeds.remove(engine);
    expect(speeds.speed(engine, instant(0))).to.equal(undefined);
  });

  // Guards against requests that no peer counts, as of routers that are cut off from the relays.
  it('adds requests that only the report shows, and ever fewer of them', () => {
    const speeds = new EndpointSpeeds();
    speeds.onReport(engine, { others: 20, slowdown: 1 }, instant(0));
    const at = (age: number) => speeds.correction(engine, 10, instant(age));
    expect(at(0)).to.be.closeTo(10 * initialWeight, 1e-9);
    expect(at(excessDecayTime / 2)).to.be.closeTo(5 * initialWeight, 1e-9);
    expect(at(excessDecayTime)).to.equal(0);
  });

  // Guards against a report that is held against counts which have come to show the same.
  it('corrects nothing once the counts show what was reported', () => {
    const speeds = new EndpointSpeeds();
    speeds.onReport(engine, { others: 20, slowdown: 1 }, instant(0));
    expect(speeds.correction(engine, 20, instant(0))).to.equal(0);
  });

  // Guards against an engine that attracts requests by a report of no load or of a high speed.
  it('lowers a count by no more than its age allows, whatever is reported', () => {
    const factor = fc.oneof(
      fc.double({ min: 0, max: 1e9, noNaN: true }),
      fc.constantFrom(0.1, 1, 100),
    );
    fc.assert(
      fc.property(
        fc.nat({ max: 999_999 }),
        factor,
        fc.nat({ max: 1000 }),
        fc.nat({ max: 5000 }),
        (others, slowdown, counted, age) => {
          const speeds = new EndpointSpeeds();
          speeds.onReport(engine, { others, slowdown }, instant(0));
          const correction = speeds.correction(engine, counted, instant(age));
          const weight = initialWeight * Math.max(0, 1 - age / decayTime);
          const most = Math.min(maxReduction, counted / 4) * weight;
          expect(correction).to.be.at.least(-most - 1e-9);
          expect(speeds.speed(engine, instant(age))).to.be.within(0, 1);
        },
      ),
      { seed: 1, numRuns: 500 },
    );
  });
});
