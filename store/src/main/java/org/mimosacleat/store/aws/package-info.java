/** Adapters to the platform through the AWS SDK: DynamoDB for the table, S3 for the objects. */
package org.mimosacleat.store.aws;
