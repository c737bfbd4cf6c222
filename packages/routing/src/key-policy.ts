import type * as configuration from './fleet-configuration.js';

/** Returns the organisations of a configuration; none if keys are optional. */
export function organisationsOf({
  keyPolicy,
}: Pick<
  configuration.FleetConfiguration,
  'keyPolicy'
>): readonly configuration.Organisation[] {
  switch (keyPolicy.kind) {
    case 'optional':
      return [];
    case 'required':
      return keyPolicy.organisations;
  }
}
