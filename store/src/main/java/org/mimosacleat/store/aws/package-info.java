/** Adapters to the platform's services with the AWS SDK: DynamoDB for rows, S3 for objects. */
package org.mimosacleat.store.aws;
