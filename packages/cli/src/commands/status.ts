/** `status`: prints the state of the fleet as one router sees it. */
import type { CAC } from 'cac';

import type { FleetStatus } from '@sesamegrade/router/operators/status';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
import {
  checkOptions,
  createClient,
  operatorSchema,
  print,
  reportFailure,
  withOperatorOptions,
} from './operator-options';

type EndpointStatus = FleetStatus['endpoints'][number];

/** Pads each column to the width of its widest cell. */
function columns(rows: readonly (readonly string[])[]): string[] {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [index, cell] of row.entries()) {
      widths[index] = Math.max(widths[index] ?? 0, cell.length);
    }
  }
  return rows.map(row =>
    row
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

function section(
  title: string,
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  return rows.length === 0
    ? [`${title}: none`]
    : [`${title}:`, ...columns([header, ...rows]).map(line => `  ${line}`)];
}

function endpointRow(endpoint: EndpointStatus): string[] {
  const state = endpoint.ejected ? 'ejected' : endpoint.phase;
  const load = `${endpoint.load.toFixed(1)}/${endpoint.bound.toFixed(1)}`;
  const { id, zone, serving, capacity, why } = endpoint;
  return [id, zone, serving, state, load, String(capacity), why ?? ''];
}

function routerRow(router: FleetStatus['routers'][number]): string[] {
  const version = router.configuration;
  const link = router.connected ? 'connected' : 'not connected';
  const { id, zone, phase } = router;
  return [id, zone, phase, link, version === undefined ? '?' : String(version)];
}

function leaseRow(lease: FleetStatus['leases'][number]): string[] {
  const remaining =
    lease.expiresInMs === undefined
      ? ''
      : `${(lease.expiresInMs / 1000).toFixed(1)} s`;
  return [lease.id, lease.holder ?? 'nobody', String(lease.fence), remaining];
}

function describeStatus(status: FleetStatus): string[] {
  const { router, configuration, outcomes } = status;
  const state = router.leaving
    ? 'leaving'
    : router.ready
      ? 'ready'
      : 'starting';
  const store = configuration.storeUp ? 'store reachable' : 'store unreachable';
  const problem = configuration.problem ? `, ${configuration.problem}` : '';
  const outcomeCounts = Object.entries(outcomes).map(
    ([kind, n]) => `${kind} ${n}`,
  );
  const upSeconds = Math.round(router.upSeconds);
  return [
    `router ${router.id} (${router.zone}, ${router.program}): ${state}, up ${upSeconds} s`,
    `configuration: version ${configuration.version}, ${store}${problem}`,
    `control traffic: ${Math.round(status.controlBytesPerSecond)} bytes/s`,
    `outcomes: ${outcomeCounts.join(', ') || 'none yet'}`,
    ...section(
      'routers',
      ['id', 'zone', 'phase', 'link', 'configuration'],
      status.routers.map(routerRow),
    ),
    ...section(
      'endpoints',
      ['id', 'zone', 'serves', 'state', 'load/bound', 'capacity', 'why'],
      status.endpoints.map(endpointRow),
    ),
    ...section(
      'leases',
      ['id', 'holder', 'fence', 'expires in'],
      status.leases.map(leaseRow),
    ),
  ];
}

async function showStatus(rawOptions: unknown): Promise<ExitStatus> {
  const options = checkOptions(operatorSchema, rawOptions);
  const client = options && createClient(options.operator, options.tokenEnv);
  if (!client) {
    return ExitCode.usage;
  }
  const status = await client.status();
  if (!status.ok) {
    return reportFailure(status.failure);
  }
  const lines = options.json
    ? [JSON.stringify(status.value)]
    : describeStatus(status.value);
  lines.forEach(print);
  return ExitCode.success;
}

export class StatusCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    withOperatorOptions(
      cli.command(
        'status',
        'Show the state of the fleet as one router sees it',
      ),
    ).action((options: unknown) => {
      run(() => showStatus(options));
    });
  }
}
