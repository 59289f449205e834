/**
 * Reconciles engines with their planned state while this router holds the lease.
 * An order states the complete desired state and carries the fencing number; it
 * is repeated until the engine's report matches.
 *
 * Engines that check the fencing number get one order after every change of the
 * lease holder, even when their state matches, so that they reject orders of an
 * earlier holder that are still in transit. Engines that ignore the number are
 * protected by the duration of the lease alone; an order that arrives after the
 * maximum send time is corrected at the next check.
 */
import type { LeaseManager } from '../leases/lease-manager';
import type { Random } from '../random/random';
import { Backoff } from '../retries/backoff';
import { PeriodicTask } from '../table/periodic-task';
import { Table } from '../table/table';
import type { EventRecorder } from '../timeline/event';
import type { EndpointId, FencingNumber, LeaseId } from '../types/ids';
import type { Instant, Milliseconds } from '../types/units';
import { addTime, elapsed, instant, seconds } from '../types/units';
import type { ModelPlan, Shortage } from './engine-planner';
import { planEngines } from './engine-planner';
import type { EngineResponse, EngineCommand, EngineRow } from './engine-row';
import type { EngineOrder, EngineReport, EngineState } from './engine-state';
import { parseEngineReport, sameState, sameWeights } from './engine-state';
import { WeightLoadBudget, loadingModel } from './weight-load-budget';

export interface EngineOrderSettings {
  /** Maximum number of engines that load weights at the same time. */
  readonly maxLoads: number;
  /** Time between two reads of an engine's state. */
  readonly checkPeriod: Milliseconds;
  /** How long a new lease holder waits for the reports of engines before it plans without them. */
  readonly reportGrace: Milliseconds;
  /** Whether engines reject orders with an old fencing number. */
  readonly enginesCheckFence: boolean;
}

export const DEFAULT_ENGINE_ORDER_SETTINGS: EngineOrderSettings = {
  maxLoads: 4,
  checkPeriod: seconds(5),
  reportGrace: seconds(10),
  enginesCheckFence: true,
};

export interface EngineReconcilerOptions {
  readonly lease: LeaseId;
  readonly leaseManager: LeaseManager;
  readonly random: Random;
  readonly recorder: EventRecorder;
  readonly settings: EngineOrderSettings;
}

const NEVER = instant(-Infinity);
const RETRY_BACKOFF = { base: seconds(0.2), cap: seconds(5) };

export class EngineReconciler extends PeriodicTask {
  readonly #options: EngineReconcilerOptions;
  readonly #backoff: Backoff;
  readonly #engines = new Table<EndpointId, EngineRow>();
  readonly #byTicket = new Map<number, EndpointId>();
  #plans: readonly ModelPlan[] = [];
  /** Whether an input of the plan has changed. */
  #mustPlan = true;
  #shortages: readonly Shortage[] = [];
  #commands: EngineCommand[] = [];
  #lastTicket = 0;
  /**
   * Fencing number of the held lease, and when this router first saw it;
   * undefined without the lease.
   */
  #fence: FencingNumber | undefined;
  #leaseHeldSince = NEVER;

  constructor(options: EngineReconcilerOptions) {
    super();
    this.#options = options;
    this.#backoff = new Backoff(options.random, RETRY_BACKOFF);
  }

  /** Models that have too few engines by the last plan. */
  get shortages(): readonly Shortage[] {
    return this.#shortages;
  }

  /** Number of engines that load weights, or were ordered to and have not reported yet. */
  get loading(): number {
    const rows = [...this.#engines.rows()];
    return rows.filter(row => loadingModel(row) !== undefined).length;
  }

  /** Returns the commands queued since the last call. */
  takeCommands(): readonly EngineCommand[] {
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  /** Sets the desired state and number of engines of each model. */
  setPlans(plans: readonly ModelPlan[]): void {
    this.#plans = plans;
    this.#mustPlan = true;
  }

  /** Sets the live engines; all others are dropped and get no orders. */
  setEngines(live: Iterable<EndpointId>): void {
    const liveIds = new Set(live);
    for (const { id } of this.#engines.rows()) {
      if (!liveIds.has(id)) {
        this.#engines.delete(id);
        this.#mustPlan = true;
      }
    }
    for (const id of liveIds) {
      if (!this.#engines.has(id)) {
        this.#engines.put(newRow(id));
        this.#mustPlan = true;
      }
    }
  }

  /**
   * Must be called immediately before an order is sent. Returns false when the
   * order must not be sent; its ticket is closed then.
   */
  permitOrder(ticket: number, now: Instant): boolean {
    const row = this.#rowOf(ticket);
    const order = row?.pending?.order;
    if (!row || !order) {
      return false;
    }
    const { leaseManager, lease } = this.#options;
    if (leaseManager.activeFence(lease, now) === order.fence) {
      return true;
    }
    this.#byTicket.delete(ticket);
    this.#engines.patch(row.id, { pending: undefined });
    return false;
  }

  /** Takes the response to a command; only the first response for a ticket counts. */
  onResponse(ticket: number, response: EngineResponse, now: Instant): void {
    const row = this.#rowOf(ticket);
    this.#byTicket.delete(ticket);
    if (!row) {
      return;
    }
    const report =
      response.kind === 'reported'
        ? parseEngineReport(response.value)
        : undefined;
    this.#engines.patch(row.id, { pending: undefined });
    if (report) {
      this.#onReport(row, report, now);
    } else {
      this.#onFailure(row, now);
    }
  }

  /**
   * Plans if necessary and sends orders to engines that differ, while this
   * router holds the lease.
   */
  override tick(now: Instant): void {
    const { leaseManager, lease } = this.#options;
    const fence = leaseManager.activeFence(lease, now);
    if (fence !== this.#fence) {
      this.#onFenceChanged(fence, now);
    }
    if (fence === undefined) {
      return;
    }
    if (this.#mustPlan && this.#hasSufficientReports(now)) {
      this.#mustPlan = false;
      this.#plan();
    }
    const { maxLoads } = this.#options.settings;
    const budget = new WeightLoadBudget(
      this.#engines.rows(),
      this.#plans,
      maxLoads,
    );
    for (const row of this.#engines.rows()) {
      this.#advance(row, fence, budget, now);
    }
  }

  #rowOf(ticket: number): EngineRow | undefined {
    const id = this.#byTicket.get(ticket);
    const row = id === undefined ? undefined : this.#engines.get(id);
    return row?.pending?.ticket === ticket ? row : undefined;
  }

  /** Discards all reports and targets, so that a new lease holder starts from fresh reports. */
  #onFenceChanged(fence: FencingNumber | undefined, now: Instant): void {
    this.#fence = fence;
    this.#leaseHeldSince = now;
    this.#shortages = [];
    this.#mustPlan = true;
    for (const { id } of this.#engines.rows()) {
      this.#engines.put(newRow(id));
    }
  }

  #hasSufficientReports(now: Instant): boolean {
    const isReportMissing = [...this.#engines.rows()].some(row => !row.report);
    const waited = elapsed(this.#leaseHeldSince, now);
    return !isReportMissing || waited >= this.#options.settings.reportGrace;
  }

  #plan(): void {
    const reported = [...this.#engines.rows()].filter(row => row.report);
    const engines = reported.map(({ id, target, report }) => ({
      id,
      model: (target ?? report)?.model,
    }));
    const { targets, shortages } = planEngines(engines, this.#plans);
    this.#shortages = shortages;
    for (const { id } of reported) {
      this.#engines.patch(id, { target: targets.get(id) });
    }
  }

  #onReport(row: EngineRow, report: EngineReport, now: Instant): void {
    const { leaseManager, lease, recorder } = this.#options;
    this.#mustPlan ||= !row.report || !sameState(row.report, report);
    this.#engines.patch(row.id, { report, reportedAt: now, failures: 0 });
    if (this.#fence !== undefined && report.highestFence > this.#fence) {
      leaseManager.onHigherFence(lease, report.highestFence, now);
    }
    if (row.target && !isDone(row) && sameState(report, row.target)) {
      recorder.record('engine-order-done', { endpoint: row.id, lease });
    }
  }

  #onFailure(row: EngineRow, now: Instant): void {
    this.#engines.patch(row.id, {
      reportedAt: NEVER,
      retryAt: addTime(now, this.#backoff.delay(row.failures)),
      failures: row.failures + 1,
    });
  }

  #advance(
    row: EngineRow,
    fence: FencingNumber,
    budget: WeightLoadBudget,
    now: Instant,
  ): void {
    if (row.pending || row.retryAt > now) {
      return;
    }
    const { report, target } = row;
    const age = elapsed(row.reportedAt, now);
    if (!report || age >= this.#options.settings.checkPeriod) {
      this.#sendRead(row);
    } else if (target && this.#needsOrder(report, target, fence, budget)) {
      this.#sendOrder(row, target, fence);
    }
  }

  #needsOrder(
    report: EngineReport,
    target: EngineState,
    fence: FencingNumber,
    budget: WeightLoadBudget,
  ): boolean {
    if (!sameState(report, target)) {
      return sameWeights(report, target) || budget.take(report, target);
    }
    const { enginesCheckFence } = this.#options.settings;
    return enginesCheckFence && report.highestFence < fence;
  }

  #sendRead({ id }: EngineRow): void {
    const ticket = this.#openRequest(id, undefined);
    this.#commands.push({ kind: 'read-engine', ticket, engine: id });
  }

  #sendOrder(
    { id }: EngineRow,
    target: EngineState,
    fence: FencingNumber,
  ): void {
    const { lease, recorder } = this.#options;
    const order = { ...target, fence, lease };
    const ticket = this.#openRequest(id, order);
    this.#commands.push({ kind: 'order-engine', ticket, engine: id, order });
    recorder.record('engine-order-sent', { endpoint: id, lease });
  }

  #openRequest(id: EndpointId, order: EngineOrder | undefined): number {
    this.#lastTicket += 1;
    const ticket = this.#lastTicket;
    this.#byTicket.set(ticket, id);
    this.#engines.patch(id, { pending: { ticket, order } });
    return ticket;
  }
}

function newRow(id: EndpointId): EngineRow {
  return {
    id,
    report: undefined,
    reportedAt: NEVER,
    target: undefined,
    pending: undefined,
    retryAt: NEVER,
    failures: 0,
  };
}

function isDone({ report, target }: EngineRow): boolean {
  return (
    report !== undefined && target !== undefined && sameState(report, target)
  );
}
