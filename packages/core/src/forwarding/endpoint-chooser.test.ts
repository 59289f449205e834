import { expect } from 'chai';

import { EndpointLimits } from '../endpoint-limits/endpoint-limits';
import { PermitRefusals } from '../endpoint-limits/permit-refusals';
import { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { EvacuatedZones } from '../endpoints/evacuated-zones';
import { RefusalHolds } from '../endpoints/refusal-holds';
import { LoadEstimate } from '../engines/load-estimate';
import { PartLocations } from '../engines/part-locations';
import { ServiceHealth } from '../outliers/service-health';
import type { Prompt } from '../prompts/prompt-chain';
import { Random } from '../random/random';
import { revision, storeEra } from '../store/feed-position';
import {
  attemptId,
  endpointId,
  modelId,
  promptPartId,
  serviceId,
  zoneId,
} from '../types/ids';
import type { EndpointId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { EndpointChooser } from './endpoint-chooser';

const service = serviceId('s');
const now = instant(0);
const noneTried: ReadonlySet<EndpointId> = new Set();

const entry = (id: string, zone: string): EndpointEntry => ({
  id: endpointId(id),
  service,
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId(zone),
  slots: 6,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: undefined,
  softwareVersion: undefined,
});

const prompt: Prompt = {
  model: modelId('m'),
  parts: [
    { id: promptPartId('subject'), tokens: 10_000 },
    { id: promptPartId('own'), tokens: 100 },
  ],
  promptTokens: 10_100,
  maxOutputTokens: 100,
  expectedOutputTokens: undefined,
};

function open(ids: readonly string[]) {
  const entries = ids.map((id, at) => entry(id, at % 2 === 0 ? 'near' : 'far'));
  const endpointDirectory = new EndpointDirectory();
  endpointDirectory.replace(entries, now);
  const health = new ServiceHealth();
  health.onEndpointsChanged(entries, now);
  const loads = new LoadEstimate();
  const locations = new PartLocations();
  const holds = new RefusalHolds();
  const evacuatedZones = new EvacuatedZones();
  let evacuationCount = 0;
  const endpointLimits = new EndpointLimits();
  const chooser = new EndpointChooser({
    endpointDirectory,
    evacuatedZones,
    health,
    loads,
    locations,
    holds,
    endpointLimits,
    permitRefusals: new PermitRefusals(() => 1),
    streamAdmission: { prefer: pool => pool },
    random: new Random(1),
    zone: zoneId('near'),
    unreported: () => 0,
  });
  const choose = (
    options: {
      readonly prompt?: Prompt;
      readonly repeatable?: boolean;
      readonly tried?: ReadonlySet<EndpointId>;
    } = {},
  ) =>
    chooser.choose(
      {
        service,
        prompt: options.prompt,
        tried: options.tried ?? noneTried,
        repeatable: options.repeatable ?? true,
      },
      now,
    );
  const fail = (id: string, times: number) => {
    for (let count = 0; count < times; count += 1) {
      const attempt = attemptId(`${id}-${count}`);
      health.onAttemptStarted(endpointId(id), attempt, now);
      health.onAttemptEnded(endpointId(id), attempt, { kind: 'error' }, now);
    }
  };
  const evacuate = (...zones: readonly string[]) => {
    evacuationCount += 1;
    evacuatedZones.applyList(
      zones.map(zoneId),
      { era: storeEra(0), revision: revision(evacuationCount) },
      { origin: 'store', now },
    );
  };
  return {
    choose,
    chooser,
    endpointLimits,
    entries,
    evacuate,
    fail,
    holds,
    loads,
    locations,
  };
}

describe('EndpointChooser', () => {
  it('prefers endpoints of its own zone at equal load and spreads a burst over all endpoints', () => {
    const { choose, loads } = open(['a', 'b', 'c', 'd']);
    const counts = new Map<string, number>();
    for (let request = 0; request < 24; request += 1) {
      const choice = choose();
      if (choice.kind === 'endpoint') {
        loads.onRequestStarted(choice.entry.id);
        counts.set(choice.entry.id, (counts.get(choice.entry.id) ?? 0) + 1);
      }
    }
    expect(['a', 'c']).to.include([...counts.keys()][0]);
    expect(Math.max(...counts.values())).to.be.at.most(7);
    expect(counts.size).to.equal(4);
  });

  it('sends no call that may not be repeated to an endpoint that failed recently', () => {
    const { choose, fail } = open(['a', 'b']);
    fail('a', 2);
    for (let request = 0; request < 20; request += 1) {
      const choice = choose({ repeatable: false });
      expect(choice.kind === 'endpoint' && choice.entry.id).to.equal('b');
    }
  });

  it('chooses an ejected endpoint only if no other is untried', () => {
    const { choose, fail } = open(['a', 'b']);
    fail('a', 8);
    const other = choose({ tried: new Set([endpointId('b')]) });
    expect(other).to.include({ kind: 'endpoint', reason: 'last-resort' });
    expect(
      choose({ tried: new Set([endpointId('a'), endpointId('b')]) }),
    ).to.deep.equal({ kind: 'none', known: 2 });
  });

  it('sends nothing to endpoints that want no requests for a while, also when no other is left', () => {
    const { choose, chooser, holds } = open(['a', 'b']);
    holds.hold(endpointId('a'), milliseconds(2000), now);
    for (let request = 0; request < 20; request += 1) {
      const choice = choose();
      expect(choice.kind === 'endpoint' && choice.entry.id).to.equal('b');
    }
    expect(chooser.untried({ service, tried: noneTried }, now)).to.equal(1);
    expect(chooser.holdTime(service, now)).to.equal(undefined);
    holds.hold(endpointId('b'), milliseconds(900), now);
    expect(choose()).to.deep.equal({ kind: 'none', known: 2 });
    expect(chooser.holdTime(service, now)).to.equal(900);
  });

  it('lets an engine fetch a subject only from an engine that has finished reading it', () => {
    const { choose, loads, locations } = open(['a', 'b']);
    locations.add(promptPartId('subject'), endpointId('a'), 'reading');
    for (let count = 0; count < 6; count += 1) {
      loads.onRequestStarted(endpointId('a'));
    }
    expect(choose({ prompt })).to.include({ fetchFrom: undefined });
    locations.add(promptPartId('subject'), endpointId('a'), 'held');
    const choice = choose({ prompt });
    expect(choice.kind === 'endpoint' && choice.entry.id).to.equal('b');
    expect(choice.kind === 'endpoint' && choice.fetchFrom?.id).to.equal('a');
  });

  describe('while a zone is evacuated', () => {
    const query = { service, tried: noneTried };

    // Guards against requests that reach an endpoint after its zone was evacuated.
    it('chooses none of its endpoints, also if all others have failed', () => {
      const { choose, chooser, evacuate, fail } = open(['a', 'b']);
      evacuate('near');
      expect(choose()).to.include({ reason: 'least-loaded' });
      fail('b', 5);
      for (const options of [{}, { prompt }, { repeatable: false }]) {
        const choice = choose(options);
        expect(choice.kind === 'endpoint' && choice.entry.id).to.equal('b');
        expect(choice).to.include({ reason: 'last-resort' });
      }
      expect(chooser.untried(query, now)).to.equal(1);
      expect(chooser.unlimited(query, now)).to.equal(1);
      evacuate();
      expect(chooser.untried(query, now)).to.equal(2);
    });

    it('finds no endpoint and no time to wait for while all zones are evacuated', () => {
      const { choose, chooser, evacuate, holds } = open(['a', 'b']);
      holds.hold(endpointId('a'), milliseconds(900), now);
      holds.hold(endpointId('b'), milliseconds(900), now);
      expect(chooser.holdTime(service, now)).to.equal(900);
      evacuate('near', 'far', 'unknown');
      expect(choose()).to.deep.equal({ kind: 'none', known: 0 });
      expect(chooser.holdTime(service, now)).to.equal(undefined);
      expect(chooser.untried(query, now)).to.equal(0);
    });

    it('neither offers its endpoints for a permit nor uses one that was granted before', () => {
      const { chooser, endpointLimits, entries, evacuate } = open(['a', 'b']);
      for (const each of entries) {
        const statement = {
          requestLimit: { kind: 'limit', perSecond: 2 },
          rejectionLimit: { kind: 'none' },
        } as const;
        endpointLimits.onStatement(each, statement, now, now);
      }
      const limited = () => chooser.limited(query, now).map(({ id }) => id);
      expect(limited()).to.deep.equal(['a', 'b']);
      evacuate('near');
      expect(limited()).to.deep.equal(['b']);
      const granted = { ...query, prompt: undefined, repeatable: true };
      const choice = chooser.choose({ ...granted, only: endpointId('a') }, now);
      expect(choice.kind).to.equal('none');
    });

    it('fetches no cached parts from its engines', () => {
      const { choose, evacuate, locations, loads } = open(['a', 'b', 'c']);
      const subject = promptPartId('subject');
      locations.add(subject, endpointId('b'), 'held');
      for (let count = 0; count < 60; count += 1) {
        loads.onRequestStarted(endpointId('b'));
      }
      const source = () => {
        const choice = choose({ prompt });
        return choice.kind === 'endpoint' ? choice.fetchFrom?.id : undefined;
      };
      expect(source()).to.equal('b');
      evacuate('far');
      expect(source()).to.equal(undefined);
    });
  });
});
