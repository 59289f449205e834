/** Checks the promises about configuration changes in a history. */
import type { ProposalResult } from '@sesamegrade/core/configuration/proposal';
import { parseSnapshot } from '@sesamegrade/core/configuration/configuration-rows';
import type { ConfigurationSnapshot } from '@sesamegrade/core/configuration/configuration-rows';
import type { Violation } from '../simulation/fault';

/** Observes the configuration versions of all routers while a history runs. */
export class VersionObserver {
  readonly violations: Violation[] = [];
  readonly #latestVersions = new Map<string, number>();
  readonly #hashByVersion = new Map<number, number>();

  /** Records that a router process has a version in force. */
  observe(router: string, { version, hash }: ConfigurationSnapshot): void {
    const previous = this.#latestVersions.get(router) ?? 0;
    if (version < previous) {
      this.#recordViolation(
        `${router} went back from version ${previous} to ${version}`,
      );
    }
    this.#latestVersions.set(router, version);
    const knownHash = this.#hashByVersion.get(version);
    if (knownHash !== undefined && knownHash !== hash) {
      this.#recordViolation(
        `${router} has version ${version} with another content hash`,
      );
    }
    this.#hashByVersion.set(version, hash);
  }

  #recordViolation(detail: string): void {
    this.violations.push({ promise: 'no-revert', detail });
  }
}

/** Compares the results that operators got with the changes stored in the table. */
export function checkResults(
  stored: unknown,
  results: readonly ProposalResult[],
): Violation[] {
  const parsed = parseSnapshot(stored);
  const recent = parsed.ok ? parsed.value.recent : [];
  const violations: Violation[] = [];
  const accepted = new Map<string, number>();
  for (const { changeId, version } of recent) {
    if (accepted.has(changeId)) {
      const detail = `${changeId} was accepted twice`;
      violations.push({ promise: 'at-most-once', detail });
    }
    accepted.set(changeId, version);
  }
  for (const result of results) {
    const detail = findFalseResult(result, accepted);
    if (detail !== undefined) {
      violations.push({ promise: 'true-outcome', detail });
    }
  }
  return violations;
}

function findFalseResult(
  { changeId, outcome }: ProposalResult,
  accepted: ReadonlyMap<string, number>,
): string | undefined {
  const version = accepted.get(changeId);
  switch (outcome.kind) {
    case 'committed':
      return version === outcome.version
        ? undefined
        : `${changeId} was reported as version ${outcome.version} but is ${version ?? 'absent'} in the table`;
    case 'conflict':
      return outcome.winner.changeId === changeId
        ? `${changeId} was reported as in conflict with itself`
        : undefined;
    case 'invalid':
      return version === undefined
        ? undefined
        : `${changeId} was reported as invalid but was accepted`;
    case 'store-unavailable':
    case 'unreadable':
    case 'store-behind':
    case 'unsettled':
      return undefined;
  }
}
