/** Starts routers in this process; who composes the program provides it. */

/** A team and the key that its callers send. */
export interface DemoTeam {
  readonly team: string;
  readonly key: string;
}

/** A plain service and how its calls are treated. */
export interface DemoService {
  readonly service: string;
  /** Whether its calls may not be repeated and need an idempotency key. */
  readonly keyRequired: boolean;
  /** Statuses that say that a call was not run. */
  readonly notRunStatuses: readonly number[];
}

/** What every router of a fleet needs to know. */
export interface DemoFleet {
  /** Base URL of the platform. */
  readonly platform: string;
  readonly teams: readonly DemoTeam[];
  readonly models: readonly string[];
  readonly services: readonly DemoService[];
}

/** A router that answers callers. */
export interface LaunchedRouter {
  /** Base URL of the interface for callers. */
  readonly callers: string;
  /** Base URL of the interface for operators. */
  readonly operators?: string;
  readonly operatorToken?: string;
  /** Stops gracefully. */
  stop(): Promise<void>;
}

export abstract class RouterLauncher {
  /** Resolves when the router is ready for callers. */
  abstract launch(
    fleet: DemoFleet,
    router: { readonly id: string; readonly zone: string },
  ): Promise<LaunchedRouter>;
}
