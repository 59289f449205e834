/** Slopes of the memory that a router's state takes. */
import { DemandTable } from '@sesamegrade/core/limits/demand-table';
import { poolId } from '@sesamegrade/core/limits/pool';
import { AffinityTable } from '@sesamegrade/core/placement/affinity-table';
import { EventBuffer } from '@sesamegrade/core/timeline/event-buffer';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import {
  chatId,
  endpointId,
  routerId,
  teamId,
} from '@sesamegrade/core/types/ids';
import {
  endpointTable,
  loadView,
  MODEL_COUNT,
  NOW,
  routerTable,
} from './fleet-fixtures';
import { heapBytes } from './meters';
import { Slope } from './slope';

abstract class MemorySlope extends Slope {
  override readonly unit = 'bytes';

  override measure(size: number): number {
    return heapBytes(() => this.build(size));
  }

  protected abstract build(size: number): unknown;
}

class ChatMemory extends MemorySlope {
  override readonly name = 'memory per remembered chat';
  override readonly role = 'chat memory';
  override readonly sizes = [5000, 20_000, 50_000];
  override readonly target = 50_000;

  protected override build(size: number): AffinityTable {
    const affinity = new AffinityTable(size);
    for (let index = 0; index < size; index += 1) {
      const chat = chatId(`team-${index % 760}/chat-${index}`);
      affinity.record(chat, endpointId(`engine-${index % 3500}`));
    }
    return affinity;
  }
}

class EndpointMemory extends MemorySlope {
  override readonly name = 'memory per endpoint, with its load';
  override readonly role = 'entry';
  override readonly sizes = [60, 290, 1000, 3500];
  override readonly target = 3500;

  protected override build(size: number): unknown {
    const table = endpointTable(size);
    return [table, loadView(table)];
  }
}

class RouterMemory extends MemorySlope {
  override readonly name = 'memory per known router';
  override readonly role = 'entry';
  override readonly sizes = [17, 120, 370];
  override readonly target = 370;

  protected override build(size: number): unknown {
    return routerTable(size);
  }
}

class DemandMemory extends MemorySlope {
  override readonly name = 'memory per demand that peers told';
  override readonly role = 'entry';
  override readonly sizes = [1000, 5000, 20_000];
  /** Demands of 760 teams for one pool each, from as many peers as a team's traffic reaches. */
  override readonly target = 20_000;

  protected override build(size: number): unknown {
    const table = new DemandTable();
    for (let index = 0; index < size; index += 1) {
      const peer = routerId(`router-${index % 370}`);
      const team = teamId(`team-${Math.floor(index / 370)}`);
      const pool = poolId(`model/model-${index % MODEL_COUNT}`);
      table.put(peer, { pool, team, slots: 1, at: NOW });
    }
    return table;
  }
}

class EventMemory extends MemorySlope {
  override readonly name = 'memory per event of the time line';
  override readonly role = 'entry';
  override readonly sizes = [2000, 8000, 20_000];
  override readonly target = 20_000;

  protected override build(size: number): unknown {
    const clock = new HybridClock(() => 1);
    const events = new EventBuffer({ process: 'r', incarnation: 1, clock });
    for (let index = 0; index < size; index += 1) {
      events.record('request-sent', {
        request: `request-${index}`,
        attempt: `attempt-${index}`,
        endpoint: `engine-${index % 3500}`,
      });
    }
    return events;
  }
}

export function memorySlopes(): Slope[] {
  return [
    new ChatMemory(),
    new EndpointMemory(),
    new RouterMemory(),
    new DemandMemory(),
    new EventMemory(),
  ];
}
