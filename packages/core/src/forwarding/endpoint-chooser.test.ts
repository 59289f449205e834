import { expect } from 'chai';

import { EndpointLimits } from '../endpoint-limits/endpoint-limits';
import { PermitRefusals } from '../endpoint-limits/permit-refusals';
import { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { RefusalHolds } from '../endpoints/refusal-holds';
import { LoadEstimate } from '../engines/load-estimate';
import { PartLocations } from '../engines/part-locations';
import { ServiceHealth } from '../outliers/service-health';
import type { Prompt } from '../prompts/prompt-chain';
import { Random } from '../random/random';
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
  const chooser = new EndpointChooser({
    endpointDirectory,
    health,
    loads,
    locations,
    holds,
    endpointLimits: new EndpointLimits(),
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
  return { choose, chooser, fail, holds, loads, locations };
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
});
