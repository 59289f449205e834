/** Interface for starting routers in this process; the composition of the program provides the implementation. */

/** A team and the key that its callers send. */
export interface DemoTeam {
  readonly team: string;
  readonly key: string;
}

/** A plain service and its rules for calls. */
export interface DemoService {
  readonly service: string;
  /** Whether its calls are not repeatable and need an idempotency key. */
  readonly keyRequired: boolean;
  /** HTTP statuses by which the service reports that a call was not run. */
  readonly notRunStatuses: readonly number[];
}

/** Configuration that all routers of a fleet share. */
export interface DemoFleet {
  /** Base URL of the platform. */
  readonly platform: string;
  readonly teams: readonly DemoTeam[];
  readonly models: readonly string[];
  readonly services: readonly DemoService[];
}

/** A running router that accepts callers. */
export interface LaunchedRouter {
  /** Base URL of the interface for callers. */
  readonly callers: string;
  /** Base URL of the interface for operators. */
  readonly operators?: string;
  readonly operatorToken?: string;
  /** Stops the router gracefully. */
  stop(): Promise<void>;
}

export abstract class RouterLauncher {
  /** Starts a router; resolves when it is ready for callers. */
  abstract launch(
    fleet: DemoFleet,
    router: { readonly id: string; readonly zone: string },
  ): Promise<LaunchedRouter>;
}
