/** `sesamegrade check-configuration`: checks a deployment's configuration before it is sent. */
import { readFileSync } from 'node:fs';

import type { CAC } from 'cac';

import { checkConfiguration } from '@sesamegrade/core/routes/configuration-check';
import type { Finding } from '@sesamegrade/core/routes/configuration-check';
import { configurationDifferences } from '@sesamegrade/core/routes/configuration-differences';
import type { Difference } from '@sesamegrade/core/routes/configuration-differences';
import type { FleetConfiguration } from '@sesamegrade/core/routes/fleet-configuration';
import { fail } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { DeploymentCodec } from '@sesamegrade/gateway/store/deployment-codec';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

interface CheckOptions {
  /** File with the configuration in force. */
  readonly inForce?: string;
  readonly json?: boolean;
}

interface Report {
  /** Why a file cannot be read; findings and differences are empty then. */
  readonly unreadable: string | undefined;
  readonly findings: readonly Finding[];
  readonly differences: readonly Difference[];
}

export class CheckConfigurationCommand extends Command {
  readonly #codec: DeploymentCodec;

  /** The codec is the one of the running router, so that both accept the same files. */
  constructor(codec: DeploymentCodec) {
    super();
    this.#codec = codec;
  }

  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'check-configuration <file>',
        'List errors, entries that never match and differences of a configuration',
      )
      .option('--in-force <file>', 'The configuration in force')
      .option('--json', 'Print the result as JSON')
      .action((file: unknown, options: CheckOptions) => {
        run(() => {
          const report = this.#check(String(file), options.inForce);
          print(report, options.json === true);
          return Promise.resolve(exitStatus(report));
        });
      });
  }

  #check(file: string, inForce: string | undefined): Report {
    const checked = this.#read(file);
    const before = inForce === undefined ? undefined : this.#read(inForce);
    if (!checked.ok || before?.ok === false) {
      const failures = [checked, before].flatMap(result =>
        result?.ok === false ? [result.failure] : [],
      );
      return {
        unreadable: failures.join('; '),
        findings: [],
        differences: [],
      };
    }
    const versionFindings = before
      ? findVersionNotAbove(before.value, checked.value)
      : [];
    return {
      unreadable: undefined,
      findings: [...versionFindings, ...checkConfiguration(checked.value)],
      differences: before
        ? configurationDifferences(before.value, checked.value)
        : [],
    };
  }

  #read(file: string): Result<FleetConfiguration, string> {
    let raw: Buffer;
    try {
      raw = readFileSync(file);
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error);
      return fail(`${file}: ${cause}`);
    }
    const decoded = this.#codec.decodeConfiguration(raw);
    return decoded.ok ? decoded : fail(`${file}: ${decoded.failure.detail}`);
  }
}

function findVersionNotAbove(
  before: FleetConfiguration,
  after: FleetConfiguration,
): Finding[] {
  if (after.version > before.version) {
    return [];
  }
  const message = `version ${after.version} is not above ${before.version}, the one in force, and would be ignored`;
  return [{ severity: 'error', subject: 'version', message }];
}

function print(report: Report, json: boolean): void {
  if (json) {
    process.stdout.write(`${JSON.stringify(report)}\n`);
    return;
  }
  if (report.unreadable !== undefined) {
    process.stderr.write(`${report.unreadable}\n`);
    return;
  }
  const lines = [
    ...report.findings.map(
      ({ severity, subject, message }) => `${severity}: ${subject}: ${message}`,
    ),
    ...report.differences.map(
      ({ kind, subject, changes }) =>
        `${kind}: ${subject}${changes.length > 0 ? `: ${changes.join(', ')}` : ''}`,
    ),
  ];
  process.stdout.write(
    lines.length > 0 ? `${lines.join('\n')}\n` : 'no findings\n',
  );
}

function exitStatus({ unreadable, findings }: Report): ExitStatus {
  if (unreadable !== undefined) {
    return ExitCode.usage;
  }
  return findings.length > 0 ? ExitCode.failure : ExitCode.success;
}
