import { expect } from 'chai';

import type { DefaultVersion } from '@sesamegrade/core/software-versions/default-versions';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  routerId,
  serviceId,
  softwareVersion,
} from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { seconds } from '@sesamegrade/core/types/units';
import { SuccessorAgreement } from './successor-agreement';

const [SELF, RELAY, OTHER] = ['r-0', 'r-1', 'r-2'].map(routerId) as [
  RouterId,
  RouterId,
  RouterId,
];

const unused = (unusedSince: number, agreedAt?: number): DefaultVersion => ({
  service: serviceId('s'),
  version: softwareVersion('v1'),
  since: 0,
  unusedSince,
  successor: {
    version: softwareVersion('v2'),
    agreedAt:
      agreedAt === undefined
        ? undefined
        : { storeTime: agreedAt, wallTime: agreedAt },
  },
});

describe('SuccessorAgreement', () => {
  let succeeded: DefaultVersion[];
  let directory: { isListRead: boolean; ids: RouterId[] };
  let sent: unknown[];
  let timers: ManualTimerService;
  let agreement: SuccessorAgreement;

  beforeEach(() => {
    succeeded = [unused(1000)];
    directory = { isListRead: true, ids: [RELAY, OTHER] };
    sent = [];
    timers = new ManualTimerService();
    agreement = new SuccessorAgreement({
      settings: { router: { id: SELF } },
      defaultVersions: {
        get succeeded() {
          return succeeded;
        },
      },
      routerDirectory: directory,
      peerMesh: {
        relays: [SELF, RELAY],
        requestRecording: (relay, message) => {
          sent.push({ relay, message });
          return Promise.resolve(true);
        },
      },
      timers,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
    });
  });

  const statementOf = (router: RouterId) => ({
    router,
    entries: [JSON.stringify(['s', 'v1', 1000, 'v2'])],
  });

  it('tells the relays what this router has read, once a second until all go by it', () => {
    agreement.tick(timers.now());
    agreement.tick(timers.now());
    const message = { origins: [], statement: statementOf(SELF) };
    expect(sent).to.deep.equal([{ relay: RELAY, message }]);
    timers.advance(seconds(1));
    agreement.tick(timers.now());
    expect(sent).to.have.length(2);
    succeeded = [unused(1000, 2000)];
    timers.advance(seconds(1));
    agreement.tick(timers.now());
    expect(sent).to.have.length(2);
  });

  // Guards against streams of the default version at a router that was cut off before its last endpoint left.
  it('includes all only once each router of the fleet has said so', () => {
    agreement.tick(timers.now());
    agreement.record(statementOf(RELAY));
    expect(agreement.includesAll(unused(1000))).to.equal(false);
    agreement.record(statementOf(OTHER));
    expect(agreement.includesAll(unused(1000))).to.equal(true);
    expect(agreement.includesAll(unused(1001))).to.equal(false);
    agreement.record({ router: OTHER, entries: [] });
    expect(agreement.includesAll(unused(1000))).to.equal(false);
  });

  it('includes not all before the list of routers was read', () => {
    directory = Object.assign(directory, { isListRead: false, ids: [] });
    agreement.tick(timers.now());
    expect(agreement.includesAll(unused(1000))).to.equal(false);
  });
});
