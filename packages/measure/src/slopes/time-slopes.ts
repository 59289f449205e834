/** Slopes of the processor time of a router's decisions and periodic tasks. */
import type { ConfigurationContent } from '@sesamegrade/core/configuration/content';
import { EffectiveSettings } from '@sesamegrade/core/configuration/effective-settings';
import { TaskAssignment } from '@sesamegrade/core/shared-tasks/task-assignment';
import { DemandTable } from '@sesamegrade/core/limits/demand-table';
import { GossipedShares } from '@sesamegrade/core/limits/gossiped-shares';
import { poolId } from '@sesamegrade/core/limits/pool';
import { FixedTeamPolicy } from '@sesamegrade/core/limits/team-policy';
import { AveragedHealthDetector } from '@sesamegrade/core/outliers/averaged-health-detector';
import { AffinityPlacement } from '@sesamegrade/core/placement/affinity-placement';
import { EndpointPools } from '@sesamegrade/core/policies/endpoint-pools';
import {
  chatId,
  endpointId,
  modelId,
  routerId,
  teamId,
} from '@sesamegrade/core/types/ids';
import { instant, seconds } from '@sesamegrade/core/types/units';
import {
  endpointTable,
  engineEntries,
  loadView,
  MODEL_COUNT,
  NOW,
  routerTable,
} from './fleet-fixtures';
import { microseconds } from './meters';
import { Slope } from './slope';

abstract class TimeSlope extends Slope {
  override readonly unit: string = 'us';
  protected readonly rounds: number = 200;

  override measure(size: number): number {
    return microseconds(this.rounds, this.prepare(size));
  }

  /** Returns the function that is timed. */
  protected abstract prepare(size: number): () => void;
}

class PlacementTime extends TimeSlope {
  override readonly name = 'one placement, per engine of the fleet';
  override readonly role = 'entry';
  override readonly sizes = [60, 290, 1000, 3500];
  override readonly target = 3500;

  protected override prepare(size: number): () => void {
    const endpoints = endpointTable(size);
    const pools = new EndpointPools({
      endpoints,
      loads: loadView(endpoints),
      ramp: seconds(30),
      isEjected: () => false,
    });
    const placement = new AffinityPlacement({ bound: 1.25, skewWeight: 1 });
    let next = 0;
    return () => {
      next += 1;
      const chat = chatId(`chat-${next}`);
      const model = modelId(`model-${next % MODEL_COUNT}`);
      const target = { kind: 'chat', model, chat } as const;
      placement.place({ chat }, pools.candidates(target, NOW));
    };
  }
}

class VmListTime extends TimeSlope {
  override readonly name = "taking over the platform's list, per VM";
  override readonly role = 'entry';
  override readonly sizes = [60, 290, 1000, 3500];
  override readonly target = 4750;
  protected override readonly rounds = 20;

  protected override prepare(size: number): () => void {
    const table = endpointTable(size);
    const entries = engineEntries(size);
    let now = NOW + 1;
    return () => {
      now += 1;
      table.onVmList(entries, instant(now));
      table.tick(instant(now));
    };
  }
}

class PeriodicTasksTime extends TimeSlope {
  override readonly name = 'upkeep of members, loads and health, per endpoint';
  override readonly role = 'entry';
  override readonly sizes = [60, 290, 1000, 3500];
  override readonly target = 4380;
  protected override readonly rounds = 20;

  protected override prepare(size: number): () => void {
    const table = endpointTable(size);
    const loads = loadView(table);
    const detector = new AveragedHealthDetector();
    return () => {
      table.tick(NOW);
      for (const { id, capacity } of table.rows()) {
        loads.track(id, capacity);
      }
      const liveIds = [...table.endpoints()].map(row => row.id);
      detector.onEndpointsChanged(liveIds, NOW);
      detector.tick(NOW);
      loads.expire(NOW);
    };
  }
}

class TaskOwnerTime extends TimeSlope {
  override readonly name = 'looking up the owner of 3,500 duties, per router';
  override readonly role = 'engine watcher';
  override readonly sizes = [17, 120, 370];
  override readonly target = 370;
  protected override readonly rounds = 10;

  protected override prepare(size: number): () => void {
    const assignment = new TaskAssignment({
      routers: routerTable(size),
      now: () => NOW,
    });
    return () => {
      for (let index = 0; index < 3500; index += 1) {
        assignment.ownerOf(`watch:${endpointId(`engine-${index}`)}`);
      }
    };
  }
}

class ShareTime extends TimeSlope {
  override readonly name = 'working out the shares of a pool, per team';
  override readonly role = 'entry';
  override readonly sizes = [10, 100, 760];
  override readonly target = 760;
  protected override readonly rounds = 20;

  protected override prepare(size: number): () => void {
    const table = new DemandTable();
    const pool = poolId('model/model-0');
    for (let index = 0; index < size; index += 1) {
      const peer = routerId(`router-${index % 370}`);
      const team = teamId(`team-${index}`);
      table.put(peer, { pool, team, slots: 2, at: NOW });
    }
    const shares = new GossipedShares(
      pool,
      table,
      new FixedTeamPolicy(new Map()),
    );
    let slots = 1;
    return () => {
      slots += 1;
      shares.onCapacityChanged(slots);
      shares.teamShare(teamId('team-0'), NOW);
    };
  }
}

class ConfigurationTime extends TimeSlope {
  override readonly name = 'applying a configuration, per exception';
  override readonly role = 'configuration spreader';
  override readonly sizes = [10, 100, 1000];
  override readonly target = 1000;
  protected override readonly rounds = 20;

  protected override prepare(size: number): () => void {
    const content: ConfigurationContent = {
      defaults: { loadBound: 1.25 },
      exceptions: Array.from({ length: size }, (_, index) => ({
        id: `exception-${index}`,
        scope: { kind: 'team', name: `team-${index}` },
        setting: 'teamWeight',
        value: 2,
        reason: 'a contract that grants more',
        who: 'operator',
        when: 1,
      })),
    };
    return () => {
      new EffectiveSettings(content).get('teamWeight', { team: 'team-1' });
    };
  }
}

export function timeSlopes(): Slope[] {
  return [
    new PlacementTime(),
    new VmListTime(),
    new PeriodicTasksTime(),
    new TaskOwnerTime(),
    new ShareTime(),
    new ConfigurationTime(),
  ];
}
