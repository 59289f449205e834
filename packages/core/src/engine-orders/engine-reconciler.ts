/**
 * Brings engines to the planned state while this router holds the lease. Orders
 * are absolute and carry the fencing number; each is checked against what the
 * engine reports, and repeated until it agrees.
 *
 * Engines that check the number get one order at every change of holder, even
 * when they hold the right state, so that orders of an earlier holder that are
 * still under way are refused from then on. Engines that ignore it are
 * protected by the lease's time alone, and an order that arrives later than the
 * longest send is undone at the next check.
 */
import type { LeaseManager } from '../leases/lease-manager';
import type { Random } from '../random/random';
import { Backoff } from '../retries/backoff';
import { System } from '../table/system';
import { Table } from '../table/table';
import type { EventRecorder } from '../timeline/event';
import type { EndpointId, FencingNumber, LeaseId } from '../types/ids';
import type { Instant, Milliseconds } from '../types/units';
import { addTime, elapsed, instant, seconds } from '../types/units';
import type { ModelPlan, Shortage } from './engine-planner';
import { planEngines } from './engine-planner';
import type { EngineAnswer, EngineCommand, EngineRow } from './engine-row';
import type { EngineOrder, EngineReport, EngineState } from './engine-state';
import { parseEngineReport, sameState, sameWeights } from './engine-state';
import { LoadBudget, loadingModel } from './load-budget';

export interface EngineOrderSettings {
  /** Most engines that load weights at once. */
  readonly maxLoads: number;
  /** Time between two checks of an engine. */
  readonly checkPeriod: Milliseconds;
  /** How long a new holder waits for the reports of silent engines. */
  readonly reportGrace: Milliseconds;
  /** Whether engines refuse orders with an old number. */
  readonly enginesCheckFence: boolean;
}

export const defaultEngineOrderSettings: EngineOrderSettings = {
  maxLoads: 4,
  checkPeriod: seconds(5),
  reportGrace: seconds(10),
  enginesCheckFence: true,
};

export interface EngineReconcilerOptions {
  readonly lease: LeaseId;
  readonly keeper: LeaseManager;
  readonly random: Random;
  readonly recorder: EventRecorder;
  readonly settings: EngineOrderSettings;
}

const NEVER = instant(-Infinity);
const RETRY = { base: seconds(0.2), cap: seconds(5) };

export class EngineReconciler extends System {
  readonly #options: EngineReconcilerOptions;
  readonly #backoff: Backoff;
  readonly #engines = new Table<EndpointId, EngineRow>();
  readonly #byTicket = new Map<number, EndpointId>();
  #plans: readonly ModelPlan[] = [];
  /** Whether what the plan rests on has changed. */
  #isPlanDue = true;
  #shortages: readonly Shortage[] = [];
  #commands: EngineCommand[] = [];
  #lastTicket = 0;
  /** Number of the present hold, and when it was first seen. */
  #fence: FencingNumber | undefined;
  #heldSince = NEVER;

  constructor(options: EngineReconcilerOptions) {
    super();
    this.#options = options;
    this.#backoff = new Backoff(options.random, RETRY);
  }

  /** Models that lack engines by the last plan. */
  get shortages(): readonly Shortage[] {
    return this.#shortages;
  }

  /** Engines that load weights, or were told to and have not reported yet. */
  get loading(): number {
    const rows = [...this.#engines.rows()];
    return rows.filter(row => loadingModel(row) !== undefined).length;
  }

  /** Returns the commands given since the last call. */
  takeCommands(): readonly EngineCommand[] {
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  /** Sets how many engines should hold which model. */
  setPlans(plans: readonly ModelPlan[]): void {
    this.#plans = plans;
    this.#isPlanDue = true;
  }

  /** Sets which engines live; others are lost or leave, and get no orders. */
  setEngines(live: Iterable<EndpointId>): void {
    const listed = new Set(live);
    for (const { id } of this.#engines.rows()) {
      if (!listed.has(id)) {
        this.#engines.delete(id);
        this.#isPlanDue = true;
      }
    }
    for (const id of listed) {
      if (!this.#engines.has(id)) {
        this.#engines.put(newRow(id));
        this.#isPlanDue = true;
      }
    }
  }

  /**
   * To be called right before an order goes out. False means that it must not
   * be sent; its ticket is closed then.
   */
  permitOrder(ticket: number, now: Instant): boolean {
    const row = this.#rowOf(ticket);
    const order = row?.exchange?.order;
    if (!row || !order) {
      return false;
    }
    const { keeper, lease } = this.#options;
    if (keeper.activeFence(lease, now) === order.fence) {
      return true;
    }
    this.#byTicket.delete(ticket);
    this.#engines.patch(row.id, { exchange: undefined });
    return false;
  }

  /** Takes what came of a command; only the first answer for a ticket counts. */
  answered(ticket: number, answer: EngineAnswer, now: Instant): void {
    const row = this.#rowOf(ticket);
    this.#byTicket.delete(ticket);
    if (!row) {
      return;
    }
    const report =
      answer.kind === 'reported' ? parseEngineReport(answer.value) : undefined;
    this.#engines.patch(row.id, { exchange: undefined });
    if (report) {
      this.#reported(row, report, now);
    } else {
      this.#failed(row, now);
    }
  }

  /** Plans again and orders what differs, if this router holds the lease. */
  override tick(now: Instant): void {
    const { keeper, lease } = this.#options;
    const fence = keeper.activeFence(lease, now);
    if (fence !== this.#fence) {
      this.#changeHold(fence, now);
    }
    if (fence === undefined) {
      return;
    }
    if (this.#isPlanDue && this.#knowsEnough(now)) {
      this.#isPlanDue = false;
      this.#plan();
    }
    const { maxLoads } = this.#options.settings;
    const budget = new LoadBudget(this.#engines.rows(), this.#plans, maxLoads);
    for (const row of this.#engines.rows()) {
      this.#advance(row, fence, budget, now);
    }
  }

  #rowOf(ticket: number): EngineRow | undefined {
    const id = this.#byTicket.get(ticket);
    const row = id === undefined ? undefined : this.#engines.get(id);
    return row?.exchange?.ticket === ticket ? row : undefined;
  }

  /** A new hold starts from what the engines report, not from what was known. */
  #changeHold(fence: FencingNumber | undefined, now: Instant): void {
    this.#fence = fence;
    this.#heldSince = now;
    this.#shortages = [];
    this.#isPlanDue = true;
    for (const { id } of this.#engines.rows()) {
      this.#engines.put(newRow(id));
    }
  }

  #knowsEnough(now: Instant): boolean {
    const silent = [...this.#engines.rows()].some(row => !row.report);
    const waited = elapsed(this.#heldSince, now);
    return !silent || waited >= this.#options.settings.reportGrace;
  }

  #plan(): void {
    const known = [...this.#engines.rows()].filter(row => row.report);
    const engines = known.map(({ id, target, report }) => ({
      id,
      model: (target ?? report)?.model,
    }));
    const { targets, shortages } = planEngines(engines, this.#plans);
    this.#shortages = shortages;
    for (const { id } of known) {
      this.#engines.patch(id, { target: targets.get(id) });
    }
  }

  #reported(row: EngineRow, report: EngineReport, now: Instant): void {
    const { keeper, lease, recorder } = this.#options;
    this.#isPlanDue ||= !row.report || !sameState(row.report, report);
    this.#engines.patch(row.id, { report, reportedAt: now, failures: 0 });
    if (this.#fence !== undefined && report.highestFence > this.#fence) {
      keeper.onHigherFence(lease, report.highestFence, now);
    }
    if (row.target && !isDone(row) && sameState(report, row.target)) {
      recorder.record('engine-order-done', { endpoint: row.id, lease });
    }
  }

  #failed(row: EngineRow, now: Instant): void {
    this.#engines.patch(row.id, {
      reportedAt: NEVER,
      resumeAt: addTime(now, this.#backoff.delay(row.failures)),
      failures: row.failures + 1,
    });
  }

  #advance(
    row: EngineRow,
    fence: FencingNumber,
    budget: LoadBudget,
    now: Instant,
  ): void {
    if (row.exchange || row.resumeAt > now) {
      return;
    }
    const { report, target } = row;
    const age = elapsed(row.reportedAt, now);
    if (!report || age >= this.#options.settings.checkPeriod) {
      this.#read(row);
    } else if (target && this.#needsOrder(report, target, fence, budget)) {
      this.#order(row, target, fence);
    }
  }

  #needsOrder(
    report: EngineReport,
    target: EngineState,
    fence: FencingNumber,
    budget: LoadBudget,
  ): boolean {
    if (!sameState(report, target)) {
      return sameWeights(report, target) || budget.take(report, target);
    }
    const { enginesCheckFence } = this.#options.settings;
    return enginesCheckFence && report.highestFence < fence;
  }

  #read({ id }: EngineRow): void {
    const ticket = this.#open(id, undefined);
    this.#commands.push({ kind: 'read-engine', ticket, engine: id });
  }

  #order({ id }: EngineRow, target: EngineState, fence: FencingNumber): void {
    const { lease, recorder } = this.#options;
    const order = { ...target, fence, lease };
    const ticket = this.#open(id, order);
    this.#commands.push({ kind: 'order-engine', ticket, engine: id, order });
    recorder.record('engine-order-sent', { endpoint: id, lease });
  }

  #open(id: EndpointId, order: EngineOrder | undefined): number {
    this.#lastTicket += 1;
    const ticket = this.#lastTicket;
    this.#byTicket.set(ticket, id);
    this.#engines.patch(id, { exchange: { ticket, order } });
    return ticket;
  }
}

function newRow(id: EndpointId): EngineRow {
  return {
    id,
    report: undefined,
    reportedAt: NEVER,
    target: undefined,
    exchange: undefined,
    resumeAt: NEVER,
    failures: 0,
  };
}

function isDone({ report, target }: EngineRow): boolean {
  return (
    report !== undefined && target !== undefined && sameState(report, target)
  );
}
