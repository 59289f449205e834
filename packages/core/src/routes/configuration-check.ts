/**
 * Looks for what the validation of a configuration lets through and what its operator hardly
 * wants: entries that never match, limits that contradict each other, services that no route uses.
 */
import type {
  CallerLimits,
  FleetConfiguration,
  Route,
  ServiceConfiguration,
  Team,
} from './fleet-configuration';

/** An entry of a configuration that cannot work, or probably not as it was meant. */
export interface Finding {
  readonly severity: 'error' | 'warning';
  /** The entry, such as `route drafts` or `limits`. */
  readonly subject: string;
  readonly message: string;
}

/** All findings, in the order of the configuration. */
export function checkConfiguration(
  configuration: FleetConfiguration,
): Finding[] {
  const { routes, services, limits, teams } = configuration;
  return [
    ...routes.flatMap(route => routeFindings(route, configuration)),
    ...shadowedRoutes(routes),
    ...[...services.values()].flatMap(service =>
      serviceFindings(service, routes),
    ),
    ...limitFindings(limits),
    ...teamFindings(teams),
  ];
}

function routeFindings(
  route: Route,
  { services }: FleetConfiguration,
): Finding[] {
  const subject = `route ${route.id}`;
  const findings: Finding[] = [];
  const error = (message: string) => {
    findings.push({ severity: 'error', subject, message });
  };
  const warning = (message: string) => {
    findings.push({ severity: 'warning', subject, message });
  };
  if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
    error(
      `never matches: prefix "${route.prefix}" does not begin and end with a slash`,
    );
  }
  if (route.host === '') {
    error('never matches: its host is empty');
  }
  for (const { service, weight } of route.targets) {
    if (!services.has(service)) {
      error(`service ${service} does not exist`);
    } else if (weight === 0) {
      warning(`service ${service} gets no requests: its weight is 0`);
    }
  }
  if (route.targets.every(({ weight }) => weight === 0)) {
    error('all weights are 0');
  }
  if (route.timeout === 0) {
    error('its timeout is 0 ms');
  } else if (route.latencyGoal > route.timeout) {
    warning(
      `its latency goal of ${route.latencyGoal} ms is above its timeout of ${route.timeout} ms`,
    );
  }
  if (route.maxAttempts === 0) {
    error('it allows no attempt');
  }
  if (!route.repeatable && route.maxAttempts > 1) {
    warning(
      `it allows ${route.maxAttempts} attempts of requests that may run only once`,
    );
  }
  const { answer } = route;
  if (
    answer.kind === 'stream' &&
    answer.pauseLimit !== undefined &&
    answer.pauseLimit > route.timeout
  ) {
    warning(
      `it allows pauses of ${answer.pauseLimit} ms, above its timeout of ${route.timeout} ms`,
    );
  }
  return findings;
}

/** Routes with the host and prefix of a later one, which holds. */
function shadowedRoutes(routes: readonly Route[]): Finding[] {
  const holders = new Map(
    routes.map(route => [`${route.host} ${route.prefix}`, route]),
  );
  return routes.flatMap((route): Finding[] => {
    const holder = holders.get(`${route.host} ${route.prefix}`);
    return holder === undefined || holder === route
      ? []
      : [
          {
            severity: 'error',
            subject: `route ${route.id}`,
            message: `never matches: route ${holder.id} has the same host and prefix`,
          },
        ];
  });
}

function serviceFindings(
  { id, maxConnections, engine }: ServiceConfiguration,
  routes: readonly Route[],
): Finding[] {
  const subject = `service ${id}`;
  const findings: Finding[] = [];
  if (maxConnections === 0) {
    const message = 'its endpoints accept no connections';
    findings.push({ severity: 'error', subject, message });
  }
  if (engine?.slots === 0 || engine?.memoryTokens === 0) {
    const message = 'its engines have no slots or no memory';
    findings.push({ severity: 'error', subject, message });
  }
  const isUsed = routes.some(({ targets }) =>
    targets.some(({ service, weight }) => service === id && weight > 0),
  );
  if (!isUsed) {
    const message = 'no route sends it requests';
    findings.push({ severity: 'warning', subject, message });
  }
  return findings;
}

function limitFindings(limits: CallerLimits): Finding[] {
  const subject = 'limits';
  const findings: Finding[] = Object.entries(limits).flatMap(
    ([name, limit]): Finding[] =>
      limit === 0
        ? [{ severity: 'error', subject, message: `${name} is 0` }]
        : [],
  );
  if (limits.headerTimeout > limits.idleTimeout) {
    findings.push({
      severity: 'warning',
      subject,
      message: `headerTimeout of ${limits.headerTimeout} ms is above idleTimeout of ${limits.idleTimeout} ms`,
    });
  }
  return findings;
}

function teamFindings(teams: readonly Team[]): Finding[] {
  const holders = new Map(
    teams.flatMap(team => team.keys.map(key => [key, team] as const)),
  );
  return teams.flatMap((team): Finding[] => {
    const subject = `team ${team.id}`;
    if (team.keys.length === 0) {
      const message = 'never matches: it has no key';
      return [{ severity: 'warning', subject, message }];
    }
    return team.keys.flatMap((key, at): Finding[] => {
      const holder = holders.get(key);
      return holder === undefined || holder === team
        ? []
        : [
            {
              severity: 'error',
              subject,
              message: `its key number ${at + 1} never matches: team ${holder.id} has the same one`,
            },
          ];
    });
  });
}
