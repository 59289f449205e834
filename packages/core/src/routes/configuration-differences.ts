/** What differs between two configurations, without the keys of teams, which are secret. */
import type { FleetConfiguration, Team } from './fleet-configuration';

export interface Difference {
  readonly kind: 'added' | 'removed' | 'changed';
  /** The entry, such as `route drafts` or `limits`. */
  readonly subject: string;
  /** What changed, as `field: before -> after`; empty for an entry that was added or removed. */
  readonly changes: readonly string[];
}

type Entries = ReadonlyMap<string, unknown>;

export function configurationDifferences(
  before: FleetConfiguration,
  after: FleetConfiguration,
): Difference[] {
  const [old, current] = [entriesOf(before), entriesOf(after)];
  const subjects = new Set([...old.keys(), ...current.keys()]);
  return [...subjects].flatMap((subject): Difference[] => {
    if (!old.has(subject)) {
      return [{ kind: 'added', subject, changes: [] }];
    }
    if (!current.has(subject)) {
      return [{ kind: 'removed', subject, changes: [] }];
    }
    const changes = [
      ...fieldChanges(old.get(subject), current.get(subject)),
      ...keyChanges(before, after, subject),
    ];
    return changes.length > 0 ? [{ kind: 'changed', subject, changes }] : [];
  });
}

function entriesOf(configuration: FleetConfiguration): Entries {
  const { routes, services, limits, teams } = configuration;
  return new Map<string, unknown>([
    ...routes.map(route => [`route ${route.id}`, route] as const),
    ...[...services.values()].map(
      service => [`service ${service.id}`, service] as const,
    ),
    ['limits', limits],
    ...teams.map(
      ({ id, priority }) => [teamSubject(id), { priority }] as const,
    ),
  ]);
}

function fieldChanges(before: unknown, after: unknown): string[] {
  const [old, current] = [fieldsOf(before), fieldsOf(after)];
  return [...new Set([...old.keys(), ...current.keys()])].flatMap(field => {
    const [from, to] = [old.get(field), current.get(field)];
    return from === to
      ? []
      : [`${field}: ${from ?? 'none'} -> ${to ?? 'none'}`];
  });
}

/** The fields of an entry as JSON. */
function fieldsOf(entry: unknown): Map<string, string> {
  return new Map(
    Object.entries(entry ?? {}).flatMap(([field, value]) =>
      value === undefined ? [] : [[field, JSON.stringify(value)] as const],
    ),
  );
}

function keyChanges(
  before: FleetConfiguration,
  after: FleetConfiguration,
  subject: string,
): string[] {
  const keysIn = ({ teams }: FleetConfiguration) =>
    teams.find(({ id }) => teamSubject(id) === subject)?.keys ?? [];
  const [old, current] = [keysIn(before), keysIn(after)];
  const added = current.filter(key => !old.includes(key)).length;
  const removed = old.filter(key => !current.includes(key)).length;
  return added + removed > 0
    ? [`keys: ${added} added, ${removed} removed`]
    : [];
}

function teamSubject(id: Team['id']): string {
  return `team ${id}`;
}
